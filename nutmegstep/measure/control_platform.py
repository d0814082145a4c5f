"""Client of the platform whose connection can be cut."""

from nutmegstep.membership import ListedVm
from nutmegstep.node.platform import PlatformObjects
from nutmegstep.node.ports import StoredObject, WatchReply
from nutmegstep.platform_api import ObjectClient

__all__ = ['MeasuredPlatform']


class MeasuredPlatform:
    """`ControlPlatform` whose calls fail while the platform is cut off.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform.

    Attributes
    ----------
    cut_off : bool
        Whether calls fail with `OSError`, both at their start and at their
        return.
    """

    def __init__(self, client: ObjectClient) -> None:
        self.cut_off = False
        self._stored = PlatformObjects(client)

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""
        self._check()
        found = await self._stored.get(name)
        self._check()
        return found

    async def put(self, name: str, document: bytes, tag: str | None) -> bool:
        """Write if the tag matches; False on a mismatch."""
        self._check()
        return await self._stored.put(name, document, tag)

    async def watch(
        self,
        names: tuple[str, ...],
        since: int,
        timeout: float,
    ) -> WatchReply:
        """Wait for changes and read the objects that changed."""
        self._check()
        reply = await self._stored.watch(names, since, timeout)
        self._check()
        return reply

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the live and leaving VMs."""
        self._check()
        return await self._stored.list_vms()

    def _check(self) -> None:
        if self.cut_off:
            raise OSError('the platform is cut off')
