"""Objects of the platform as the control plane uses them."""

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
    """Adapts the client of the object API; failures become `OSError`.

    Parameters
    ----------
    client : ObjectClient
        Client of the object API.
    """

    def __init__(self, client: ObjectClient) -> None:
        self._client = client

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""
        called = await self._client.get(name)
        if _failed_with(called, PlatformFailureKind.NOT_FOUND):
            return None
        stored = _value(called)
        return StoredObject(
            name,
            stored.version,
            _number(stored.version),
            stored.document,
        )

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write if the tag matches (None: absent); False on a mismatch."""
        called = await self._client.put(name, document, tag)
        if _failed_with(called, PlatformFailureKind.CONFLICT):
            return False
        return bool(_value(called))

    async def watch(
        self,
        names: tuple[str, ...],
        since: int,
        timeout: float,
    ) -> WatchReply:
        """Return when a named object was written, or after the timeout."""
        poll = timedelta(seconds=timeout)
        reply = _value(await self._client.watch(names, since, poll))
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
        """Return the live and leaving VMs."""
        return tuple(
            ListedVm(vm.name, vm.failure_domain, vm.address, vm.leaving)
            for vm in _value(await self._client.vms())
        )


def _failed_with(
    called: Result[_Value, PlatformFailure],
    kind: PlatformFailureKind,
) -> bool:
    return isinstance(called, Failure) and called.failure().kind is kind


def _value(called: Result[_Value, PlatformFailure]) -> _Value:
    if isinstance(called, Failure):
        raise ConnectionError(called.failure().detail)
    return called.unwrap()


def _number(entity_tag: str) -> int:
    """Return the number inside an entity tag; the platform counts writes."""
    digits = entity_tag.strip('"')
    return int(digits) if digits.isdigit() else _NO_VERSION
