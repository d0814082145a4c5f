"""What a follower needs from a client of the store."""

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
        Decoded JSON values.
    revision : int
        Where a watch goes on.
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
        Decoded JSON value; None when it was deleted.
    is_deleted : bool
        Whether the object is gone.
    """

    name: str
    document: object
    is_deleted: bool


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """Changes after a revision, oldest first.

    Parameters
    ----------
    changes : tuple of Change
        Empty when the wait ran out.
    revision : int
        Where the next watch goes on.
    """

    changes: tuple[ObjectChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has discarded the history after a revision."""


class StoreReader(Protocol):
    """Reads kinds of objects."""

    async def list_kind(self, kind: str) -> Result[Listing, PlatformFailure]:
        """Read all objects of a kind."""

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait: timedelta,
    ) -> Result[ObjectChanges | HistoryGone, PlatformFailure]:
        """Wait for changes after a revision."""
