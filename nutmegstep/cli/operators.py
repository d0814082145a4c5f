"""Operator interface of entry VMs, as the commands use it."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from nutmegstep.declarations import ControlChange, ControlDocument
from nutmegstep.peers import EntryStatus

__all__ = [
    'Explanation',
    'OperatorInterface',
    'PeerFailure',
]


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A call that failed, or that the entry VM refused."""

    detail: str
    may_have_applied: bool = False


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
