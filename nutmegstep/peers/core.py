"""Data classes of the messages between entry processes."""

import enum
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from nutmegstep.control import ControlState
from nutmegstep.declarations import ControlChange, Register
from nutmegstep.membership import ListedVm

__all__ = [
    'ClaimReport',
    'ClaimState',
    'ControlVersions',
    'FetchedControl',
    'Heartbeat',
    'HeartbeatReply',
    'KnownVersions',
    'MessageError',
    'PeerError',
    'PeerHandlers',
    'Process',
    'WarmReport',
]


class MessageError(ValueError):
    """A message breaks a bound; the text names field and bound."""


class PeerError(Exception):
    """A call to a peer failed; the text names address, call and cause.

    Parameters
    ----------
    text : str
        Address, call and cause.
    status : str
        Name of the gRPC status; empty when no channel could be opened.
    """

    def __init__(self, text: str, status: str = '') -> None:
        super().__init__(text)
        self.status = status


@enum.unique
class ClaimState(enum.Enum):
    """What the claimer knows about a claim; numbers of the wire."""

    UNKNOWN = 0
    RUNNING = 1
    FINISHED = 2
    ABANDONED = 3


@dataclass(frozen=True, slots=True)
class Process:
    """One run of an entry process with the description of its VM."""

    vm: ListedVm
    incarnation: int


@dataclass(frozen=True, slots=True)
class ControlVersions:
    """Versions of the control state; `list_age_ms` is None without a list."""

    generation: int
    configuration_digest: str
    registers_digest: int
    catalogues_digest: int
    list_digest: int
    list_age_ms: int | None


@dataclass(frozen=True, slots=True)
class WarmReport:
    """A target that is warm under a boot identifier.

    Parameters
    ----------
    target : str
        Name of the target.
    boot_id : str
        Boot identifier of the target.
    age_ms : int
        Milliseconds since a process saw that the target is warm.
    """

    target: str
    boot_id: str
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a process tells a peer in one exchange."""

    sender: Process
    sequence: int
    versions: ControlVersions
    asked_targets: tuple[str, ...] = ()
    released_targets: tuple[str, ...] = ()
    warm_reports: tuple[WarmReport, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """What the peer answers."""

    receiver: Process
    versions: ControlVersions
    granted_targets: tuple[str, ...] = ()
    warm_reports: tuple[WarmReport, ...] = ()
    stale_incarnation: bool = False


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """What the asker of `FetchControl` has already."""

    generation: int
    versions_by_index: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class FetchedControl:
    """Newer parts of the control state, and the VM list with its age."""

    state: ControlState
    vms: tuple[ListedVm, ...] = ()
    list_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimReport:
    """State of a claim; a finished one may lack its stored answer."""

    state: ClaimState
    answer: bytes | None = None
    abandoned_age: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class PeerHandlers:
    """Functions that answer the calls; `forget` takes name and spread."""

    exchange: Callable[[Heartbeat], HeartbeatReply]
    fetch_control: Callable[[KnownVersions], FetchedControl]
    claim_status: Callable[[bytes], Awaitable[ClaimReport]]
    status: Callable[[], bytes]
    explain: Callable[[str], bytes]
    read_control: Callable[[], bytes]
    apply_control: Callable[[ControlChange], Register]
    forget: Callable[[str, bool], bool]
