"""Private adapter from the platform client to the control side's port."""

from datetime import timedelta
from typing import TypeVar

from returns.pipeline import is_successful
from returns.result import Failure, Result

from nutmegstep.membership import ListedVm
from nutmegstep.node.ports import StoredObject, WatchReply
from nutmegstep.platform_api import (
    ObjectClient,
    PlatformFailure,
    PlatformFailureKind,
)

__all__ = ['MeasuredPlatform']

_Value = TypeVar('_Value')


class MeasuredPlatform:
    """`ControlPlatform` over an object client, with a switch for a cut.

    Parameters
    ----------
    client : ObjectClient
        Makes the calls.
    """

    def __init__(self, client: ObjectClient) -> None:
        self.cut_off = False
        self._client = client

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""
        self._check()
        called = await self._client.get(name)
        if _failed_with(called, PlatformFailureKind.NOT_FOUND):
            return None
        stored = self._value_of(called)
        version = stored.version
        number = int(version.strip('"'))
        return StoredObject(name, version, number, stored.document)

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write if the tag matches; False on a mismatch."""
        self._check()
        called = await self._client.put(name, document, tag)
        if _failed_with(called, PlatformFailureKind.CONFLICT):
            return False
        self._value_of(called)
        return True

    async def watch(
        self,
        names: tuple[str, ...],
        since: int,
        timeout: float,
    ) -> WatchReply:
        """Wait for changes and read the objects that changed."""
        self._check()
        poll = timedelta(seconds=timeout)
        reply = self._value_of(await self._client.watch(names, since, poll))
        found = [await self.get(changed.name) for changed in reply.changed]
        stored = tuple(one for one in found if one is not None)
        return WatchReply(reply.revision, stored)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the live and leaving VMs."""
        self._check()
        records = self._value_of(await self._client.vms())
        return tuple(
            ListedVm(vm.name, vm.failure_domain, vm.address, vm.leaving)
            for vm in records
        )

    def _check(self) -> None:
        if self.cut_off:
            raise OSError('the platform is cut off')

    def _value_of(self, called: Result[_Value, PlatformFailure]) -> _Value:
        self._check()
        if is_successful(called):
            return called.unwrap()
        raise OSError(called.failure().detail)


def _failed_with(
    called: Result[_Value, PlatformFailure],
    kind: PlatformFailureKind,
) -> bool:
    return isinstance(called, Failure) and called.failure().kind is kind
