"""Base of store stand-ins whose unexpected calls fail the test."""

from collections.abc import Mapping
from datetime import timedelta

from returns.result import Result

from nutmegstep.platform_api.records import PlatformFailure
from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChanges,
    StatusWrite,
)
from nutmegstep.store_watch.vm_registry import VmEntry


class UnimplementedStore:
    """Store whose subclasses implement the calls that a test expects."""

    async def list_kind(self, kind: str) -> Result[Listing, PlatformFailure]:
        """Fail the test."""
        raise NotImplementedError

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait: timedelta,
    ) -> Result[ObjectChanges | HistoryGone, PlatformFailure]:
        """Fail the test."""
        raise NotImplementedError

    async def list_vms(self) -> Result[dict[str, VmEntry], PlatformFailure]:
        """Fail the test."""
        raise NotImplementedError

    async def put_vm(
        self,
        name: str,
        entry: VmEntry,
    ) -> Result[None, PlatformFailure]:
        """Fail the test."""
        raise NotImplementedError

    async def delete_vm(self, name: str) -> Result[None, PlatformFailure]:
        """Fail the test."""
        raise NotImplementedError

    async def put_object(
        self, kind: str, name: str
    ) -> Result[None, PlatformFailure]:
        """Fail the test."""
        raise NotImplementedError

    async def delete_object(
        self, kind: str, name: str
    ) -> Result[None, PlatformFailure]:
        """Fail the test."""
        raise NotImplementedError

    async def put_status(
        self,
        kind: str,
        name: str,
        revision: int,
        status: Mapping[str, str],
    ) -> Result[StatusWrite, PlatformFailure]:
        """Fail the test."""
        raise NotImplementedError

    def close(self) -> None:
        """Do nothing; there are no connections."""
