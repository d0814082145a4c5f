"""Protocol of the operator interface of entry VMs."""

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
    """A call to an entry VM that failed or was refused.

    `may_have_applied` tells whether a change may have taken effect.
    """

    detail: str
    may_have_applied: bool = False


@dataclass(frozen=True, slots=True)
class Explanation:
    """Description of why a request was refused, partial or slow."""

    request_id: str
    lines: tuple[str, ...]


class OperatorInterface(Protocol):
    """Calls to the entry VM at an address, ``HOST:PORT``."""

    async def apply_through_peer(
        self,
        address: str,
        change: ControlChange,
    ) -> Result[None, PeerFailure]:
        """Apply a change; a relay VM writes it to the platform later."""

    async def read_status(
        self,
        address: str,
    ) -> Result[EntryStatus, PeerFailure]:
        """Fetch the status of an entry VM."""

    async def read_control(
        self,
        address: str,
    ) -> Result[ControlDocument, PeerFailure]:
        """Fetch the withdrawals and drains that an entry VM knows."""

    async def explain(
        self,
        address: str,
        request_id: str,
    ) -> Result[Explanation, PeerFailure]:
        """Fetch the explanation of a request that an entry VM handled."""

    async def forget_vm(
        self,
        address: str,
        vm: str,
    ) -> Result[None, PeerFailure]:
        """Remove a permanently stopped VM from the roster."""
