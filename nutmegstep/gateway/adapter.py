"""Interface between a gateway process and the platform it runs on."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from prometheus_client import Counter
from returns.result import Result

from nutmegstep.clock import Clock
from nutmegstep.configuration import Configuration
from nutmegstep.discovery import TargetRecord
from nutmegstep.gateway.codec import WireCodec
from nutmegstep.platform_api.records import PlatformFailure
from nutmegstep.store_watch import StoreReader
from nutmegstep.store_watch.vm_registry import VmEntry

__all__ = ['PlatformAdapter', 'Store', 'StoreNames']


class Store(StoreReader, Protocol):
    """Client of the platform's object store."""

    async def list_vms(self) -> Result[dict[str, VmEntry], PlatformFailure]:
        """Return the registry entries of all VMs, possibly seconds stale."""

    async def put_vm(
        self,
        name: str,
        entry: VmEntry,
    ) -> Result[bool, PlatformFailure]:
        """Create or renew the registry entry of a VM.

        `entry.revision` is written as part of the entry, so that each renewal
        differs from the previous one.
        """

    async def delete_vm(self, name: str) -> Result[None, PlatformFailure]:
        """Delete the registry entry of a VM that no longer renews it."""

    async def put_object(
        self, kind: str, name: str
    ) -> Result[None, PlatformFailure]:
        """Create an object without contents, unless it exists."""

    async def delete_object(
        self, kind: str, name: str
    ) -> Result[None, PlatformFailure]:
        """Delete an object, if it exists."""

    def close(self) -> None:
        """Close idle connections."""


@dataclass(frozen=True, slots=True)
class StoreNames:
    """Names of object kinds and objects in the platform's store.

    Parameters
    ----------
    configuration : str
        Kind of the configuration objects.
    current : str
        Name of the configuration object that is in force.
    targets : str
        Kind of the announcements; each target writes one about itself.
    withdrawals : str
        Kind of the objects that withdraw failure domains. The name of such an
        object is the name of the failure domain.
    crashes : str
        Kind of the records of crashes, which the gateways write. The name of
        such an object holds all of the record.
    """

    configuration: str
    current: str
    targets: str
    withdrawals: str
    crashes: str


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Formats, names and store client of one platform.

    Parameters
    ----------
    codec : WireCodec
        Translates the HTTP headers of callers and targets.
    kinds : StoreNames
        Names of object kinds and objects in the store.
    ready_path : str
        URL path of the load balancer's readiness probe.
    open_store : Callable
        Returns a store client. Takes the address, the clock and the counter
        of calls.
    read_configuration : Callable
        Decodes a configuration document, or returns why it is invalid.
    read_target : Callable
        Decodes an announcement, or returns why it is invalid. Takes the name
        of the object, the document and the monotonic time in seconds.
    """

    codec: WireCodec
    kinds: StoreNames
    ready_path: str
    open_store: Callable[[tuple[str, int], Clock, Counter], Store]
    read_configuration: Callable[[object], Result[Configuration, str]]
    read_target: Callable[[str, object, float], Result[TargetRecord, str]]
