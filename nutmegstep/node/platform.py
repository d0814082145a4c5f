"""Adapter from the client of the object API to `ControlPlatform`."""

from datetime import timedelta
from typing import Final, TypeVar

from returns.result import Failure, Result

from nutmegstep.membership import ListedVm
from nutmegstep.node.ports import StoredObject, WatchReply
from nutmegstep.platform_api import (
    ObjectClient,
    PlatformFailure,
    PlatformFailureKind,
)

__all__ = ['PlatformObjects']

_NO_VERSION: Final = 0

_Value = TypeVar('_Value')


class PlatformObjects:
    """Platform objects and VM list; a failed call raises `ConnectionError`.

    Parameters
    ----------
    client : ObjectClient
        Client of the object API.
    """

    def __init__(self, client: ObjectClient) -> None:
        self._client = client

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""
        result = await self._client.get(name)
        if _has_failed_with(result, PlatformFailureKind.NOT_FOUND):
            return None
        stored = _unwrap(result)
        return StoredObject(
            name,
            stored.version,
            _version_number(stored.version),
            stored.document,
        )

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write an object whose entity tag matches; return whether it did.

        The tag None stands for an object that does not exist yet.
        """
        result = await self._client.put(name, document, tag)
        if _has_failed_with(result, PlatformFailureKind.CONFLICT):
            return False
        return bool(_unwrap(result))

    async def watch(
        self,
        names: tuple[str, ...],
        since: int,
        timeout: float,
    ) -> WatchReply:
        """Wait until a named object changes or `timeout` seconds have passed.

        Deleted objects are left out of the reply.
        """
        poll = timedelta(seconds=timeout)
        reply = _unwrap(await self._client.watch(names, since, poll))
        changed = [
            await self.get(change.name)
            for change in reply.changed
            if change.version
        ]
        return WatchReply(
            reply.revision,
            tuple(stored for stored in changed if stored is not None),
        )

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs of the platform's list, also those that are leaving."""
        return tuple(
            ListedVm(vm.name, vm.failure_domain, vm.address, vm.leaving)
            for vm in _unwrap(await self._client.vms())
        )


def _has_failed_with(
    result: Result[_Value, PlatformFailure],
    kind: PlatformFailureKind,
) -> bool:
    return isinstance(result, Failure) and result.failure().kind is kind


def _unwrap(result: Result[_Value, PlatformFailure]) -> _Value:
    if isinstance(result, Failure):
        raise ConnectionError(result.failure().detail)
    return result.unwrap()


def _version_number(entity_tag: str) -> int:
    """Return the number of the write that an entity tag contains, or 0."""
    digits = entity_tag.strip('"')
    return int(digits) if digits.isdigit() else _NO_VERSION
