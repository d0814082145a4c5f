"""Interface between a gateway process and the platform it runs on."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from prometheus_client import Counter
from returns.result import Result

from nutmegstep.clock import Clock
from nutmegstep.configuration import Configuration
from nutmegstep.discovery import TargetRecord
from nutmegstep.gateway.codec import WireCodec
from nutmegstep.platform_api.records import PlatformFailure
from nutmegstep.rollouts import Outcome, RolloutOrder
from nutmegstep.store_watch import StatusWrite, StoreReader
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

    async def put_status(
        self,
        kind: str,
        name: str,
        revision: int,
        status: Mapping[str, str],
    ) -> Result[StatusWrite, PlatformFailure]:
        """Replace the status of an object that still has a revision."""

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
    rollouts : str
        Kind of the orders of roll-outs. The name of such an object is the name
        of the service.
    """

    configuration: str
    current: str
    targets: str
    withdrawals: str
    crashes: str
    rollouts: str


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Formats, names and store client of one platform.

    Parameters
    ----------
    codec : WireCodec
        Translates the HTTP headers of callers and targets.
    kinds : StoreNames
        Names of object kinds and objects in the store.
    id_header : bytes
        Lower-case name of the header with the identifier that a caller gave to
        its attempt, for log lines.
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
    read_rollout : Callable
        Decodes an order of a roll-out and its state, or returns why it is
        invalid. Takes the name of the object and the whole object.
    write_rollout : Callable
        Encodes the state of a roll-out. Takes the state and the version.
    """

    codec: WireCodec
    kinds: StoreNames
    id_header: bytes
    ready_path: str
    open_store: Callable[[tuple[str, int], Clock, Counter], Store]
    read_configuration: Callable[[object], Result[Configuration, str]]
    read_target: Callable[[str, object, float], Result[TargetRecord, str]]
    read_rollout: Callable[[str, object], Result[RolloutOrder, str]]
    write_rollout: Callable[[Outcome, str], Mapping[str, str]]
