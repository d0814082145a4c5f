"""Interface of the platform as the control plane uses it."""

from dataclasses import dataclass
from typing import Protocol

from nutmegstep.membership import ListedVm

__all__ = ['ControlPlatform', 'StoredObject', 'WatchReply']


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform.

    Parameters
    ----------
    name : str
        Name of the object.
    tag : str
        Entity tag.
    version : int
        Number of the last write of the object, which grows with each write.
    document : bytes
        Content.
    """

    name: str
    tag: str
    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class WatchReply:
    """Reply of a watch.

    Parameters
    ----------
    since : int
        Value of `since` for the next watch.
    changed : tuple of StoredObject
        Objects that were written after the `since` of this watch.
    """

    since: int
    changed: tuple[StoredObject, ...]


class ControlPlatform(Protocol):
    """Object API; failed calls raise `OSError` or `TimeoutError`."""

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write an object whose entity tag matches; return whether it did.

        The tag None stands for an object that does not exist yet.
        """

    async def watch(
        self,
        names: tuple[str, ...],
        since: int,
        timeout: float,
    ) -> WatchReply:
        """Wait until a named object changes or `timeout` seconds have passed."""

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs of the platform's list, also those that are leaving."""
