"""Interface of the store client that a watcher uses."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from returns.result import Result

from nutmegstep.platform_api.records import PlatformFailure

__all__ = [
    'HistoryGone',
    'Listing',
    'ObjectChange',
    'ObjectChanges',
    'StoreReader',
]


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one revision.

    Parameters
    ----------
    documents_by_name : Mapping
        Decoded JSON values by the names of the objects.
    revision : int
        Revision from which a watch continues.
    """

    documents_by_name: Mapping[str, object]
    revision: int


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """One change of an object.

    Parameters
    ----------
    name : str
        Name of the object.
    document : object
        Decoded JSON value; not used if the object was deleted.
    is_deleted : bool
        Whether the object was deleted.
    """

    name: str
    document: object
    is_deleted: bool


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """Changes after a revision, oldest first.

    Parameters
    ----------
    changes : tuple of ObjectChange
        Empty if nothing changed within the wait.
    revision : int
        Revision from which the next watch continues.
    """

    changes: tuple[ObjectChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes after a revision; list again."""


@dataclass(frozen=True, slots=True)
class StatusWrite:
    """Answer of the store to a conditional write of a status.

    Parameters
    ----------
    document : object
        The object as the store holds it; None if the answer does not say.
    is_conflict : bool
        Whether nothing was written, because the object has changed or is gone.
    """

    document: object
    is_conflict: bool


class StoreReader(Protocol):
    """Client that lists and watches kinds of objects."""

    async def list_kind(self, kind: str) -> Result[Listing, PlatformFailure]:
        """Return all objects of a kind."""

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait: timedelta,
    ) -> Result[ObjectChanges | HistoryGone, PlatformFailure]:
        """Return the changes after a revision, waiting until there are any."""
