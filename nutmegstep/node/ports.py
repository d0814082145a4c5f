"""What the control plane needs from the platform."""

from dataclasses import dataclass
from typing import Protocol

from nutmegstep.membership import ListedVm

__all__ = ['ControlPlatform', 'StoredObject', 'WatchReply']


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object with its entity tag and the number of its last write."""

    name: str
    tag: str
    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class WatchReply:
    """Objects written after `since`, and the `since` of the next call."""

    since: int
    changed: tuple[StoredObject, ...]


class ControlPlatform(Protocol):
    """The platform's object API; failures are `OSError` or `TimeoutError`."""

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write if the tag matches (None: absent); False on a mismatch."""

    async def watch(
        self,
        names: tuple[str, ...],
        since: int,
        timeout: float,
    ) -> WatchReply:
        """Return when a named object was written, or after the timeout."""

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the live and leaving VMs."""
