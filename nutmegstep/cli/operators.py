"""Operator interface of entry VMs, as the commands use it.

`operator_interface` is the one place that connects the commands to an
implementation over gRPC.
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result

from nutmegstep.declarations import ControlChange, ControlDocument

__all__ = [
    'EntryStatus',
    'Explanation',
    'OperatorInterface',
    'PeerFailure',
    'operator_interface',
]


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A call that failed, or that the entry VM refused."""

    detail: str
    may_have_applied: bool = False


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """What an entry VM reports about itself.

    Parameters
    ----------
    vm : str
        Name of the VM.
    failure_domain : str
        Its failure domain.
    ready : bool
        Whether the load balancer sends it callers.
    generation : int
        Generation in force on the VM.
    highest_generation : int
        Highest generation that it has heard of from any VM.
    configuration_source : str
        ``platform`` or the name of the peer that gave the configuration.
    withdrawn : tuple of str
        Withdrawn failure domains.
    draining : tuple of str
        Draining targets.
    alarms : tuple of str
        Sentences for an operator.
    """

    vm: str
    failure_domain: str
    ready: bool
    generation: int
    highest_generation: int
    configuration_source: str
    withdrawn: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()
    alarms: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a request was refused, partial or slow; one sentence a line."""

    request_id: str
    lines: tuple[str, ...]


class OperatorInterface(Protocol):
    """Calls to one entry VM at `address`, ``HOST:PORT``."""

    async def apply_through_peer(
        self,
        address: str,
        change: ControlChange,
    ) -> Result[None, PeerFailure]:
        """Apply a withdrawal or drain; a relay stores it later."""

    async def read_status(
        self,
        address: str,
    ) -> Result[EntryStatus, PeerFailure]:
        """Read the state of the entry VM."""

    async def read_control(
        self,
        address: str,
    ) -> Result[ControlDocument, PeerFailure]:
        """Read the withdrawals and drains that the entry VM knows."""

    async def explain(
        self,
        address: str,
        request_id: str,
    ) -> Result[Explanation, PeerFailure]:
        """Ask about a request that the entry VM handled."""

    async def forget_vm(
        self,
        address: str,
        vm: str,
    ) -> Result[None, PeerFailure]:
        """Drop a VM that is gone for good from the roster."""


_NOT_CONNECTED = PeerFailure('this build cannot call entry VMs')


class _NotConnected:
    """Fails every call; in use until the gRPC client is connected."""

    async def apply_through_peer(
        self,
        address: str,
        change: ControlChange,
    ) -> Result[None, PeerFailure]:
        return Failure(_NOT_CONNECTED)

    async def read_status(
        self,
        address: str,
    ) -> Result[EntryStatus, PeerFailure]:
        return Failure(_NOT_CONNECTED)

    async def read_control(
        self,
        address: str,
    ) -> Result[ControlDocument, PeerFailure]:
        return Failure(_NOT_CONNECTED)

    async def explain(
        self,
        address: str,
        request_id: str,
    ) -> Result[Explanation, PeerFailure]:
        return Failure(_NOT_CONNECTED)

    async def forget_vm(
        self,
        address: str,
        vm: str,
    ) -> Result[None, PeerFailure]:
        return Failure(_NOT_CONNECTED)


def operator_interface() -> OperatorInterface:
    """Return the implementation that the commands call."""
    return _NotConnected()
