"""What a gateway process needs from the platform that it runs on."""

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
    """The platform's store."""

    async def list_vms(self) -> Result[dict[str, VmEntry], PlatformFailure]:
        """Read the entries of all VMs; they may be seconds old."""

    async def put_vm(
        self,
        name: str,
        entry: VmEntry,
    ) -> Result[None, PlatformFailure]:
        """Create or renew the entry of this VM.

        The revision of `entry` only makes a renewal differ from the last.
        """

    async def delete_vm(self, name: str) -> Result[None, PlatformFailure]:
        """Delete the entry of a VM that is gone."""

    def close(self) -> None:
        """Close idle connections."""


@dataclass(frozen=True, slots=True)
class StoreNames:
    """Names of kinds and objects in the store.

    Parameters
    ----------
    configuration : str
        Kind of the configuration.
    current : str
        Name of the configuration in force.
    targets : str
        Kind of the targets' announcements.
    withdrawals : str
        Kind of the withdrawn failure domains, which name the objects.
    """

    configuration: str
    current: str
    targets: str
    withdrawals: str


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Translation between a platform and the project's types.

    Parameters
    ----------
    codec : WireCodec
        Protocol of callers and targets.
    kinds : StoreNames
        Names in the store.
    ready_path : str
        Path that the balancer asks for.
    open_store : Callable
        Returns the store at an address.
    read_configuration : Callable
        Decodes a configuration.
    read_target : Callable
        Decodes an announcement: its name, its value, the monotonic instant.
    """

    codec: WireCodec
    kinds: StoreNames
    ready_path: str
    open_store: Callable[[tuple[str, int], Clock, Counter], Store]
    read_configuration: Callable[[object], Result[Configuration, str]]
    read_target: Callable[[str, object, float], Result[TargetRecord, str]]
