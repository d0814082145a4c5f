"""Contents of the messages of the peer interface, and its errors."""

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
    """A received message is not valid; the text names the field and the limit."""


class PeerError(Exception):
    """A call to an entry VM failed.

    Parameters
    ----------
    text : str
        Error text, which names the call, the address and the cause.
    status : str
        Name of the gRPC status code, empty if no channel could be opened.
    """

    def __init__(self, text: str, status: str = '') -> None:
        super().__init__(text)
        self.status = status


@enum.unique
class ClaimState(enum.Enum):
    """State of a claim, as the process that made it reports.

    The values are the numbers of the protobuf enumeration.

    Attributes
    ----------
    UNKNOWN
        The process has no reliable information about the claim.
    RUNNING
        The claim is being written, or its request is being executed.
    FINISHED
        The request ran or may have run.
    ABANDONED
        The request did not run, so another attempt may claim the key.
    """

    UNKNOWN = 0
    RUNNING = 1
    FINISHED = 2
    ABANDONED = 3


@dataclass(frozen=True, slots=True)
class Process:
    """One run of an entry process.

    Parameters
    ----------
    vm : ListedVm
        Description of the VM that runs the process.
    incarnation : int
        Random number that the process draws at its start.
    """

    vm: ListedVm
    incarnation: int


@dataclass(frozen=True, slots=True)
class ControlVersions:
    """Versions of the control state and of the VM list of a process.

    Parameters
    ----------
    generation : int
        Generation of the configuration in force; 0 means none.
    configuration_digest : str
        Digest of the configuration.
    registers_digest : int
        Digest of the withdrawals and drains.
    catalogues_digest : int
        Digest of the versions of the index catalogues.
    list_digest : int
        Digest of the VM list.
    list_age_ms : int or None
        Milliseconds since a relay read the VM list; None without a list.
    """

    generation: int
    configuration_digest: str
    registers_digest: int
    catalogues_digest: int
    list_digest: int
    list_age_ms: int | None


@dataclass(frozen=True, slots=True)
class WarmReport:
    """Report that a target is warm.

    Parameters
    ----------
    target : str
        Name of the target.
    boot_id : str
        Boot identifier of the target process that is warm.
    age_ms : int
        Milliseconds since a VM saw that the target is warm.
    """

    target: str
    boot_id: str
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Request of an exchange.

    Parameters
    ----------
    sender : Process
        Process that sends the heartbeat.
    sequence : int
        Number of the heartbeat, which increases within one process.
    versions : ControlVersions
        Versions of the sender.
    asked_targets : tuple of str
        Targets whose leases the sender requests.
    released_targets : tuple of str
        Targets whose leases the sender releases.
    warm_reports : tuple of WarmReport
        Warm targets that the sender has learned of recently.
    """

    sender: Process
    sequence: int
    versions: ControlVersions
    asked_targets: tuple[str, ...] = ()
    released_targets: tuple[str, ...] = ()
    warm_reports: tuple[WarmReport, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Reply of an exchange.

    Parameters
    ----------
    receiver : Process
        Process that received the heartbeat.
    versions : ControlVersions
        Versions of the receiver.
    granted_targets : tuple of str
        Targets that the receiver grants to the sender of the heartbeat.
    warm_reports : tuple of WarmReport
        Warm targets that the receiver knows.
    stale_incarnation : bool
        Whether the heartbeat was refused because the receiver knows a later
        process of the sender's VM.
    """

    receiver: Process
    versions: ControlVersions
    granted_targets: tuple[str, ...] = ()
    warm_reports: tuple[WarmReport, ...] = ()
    stale_incarnation: bool = False


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """Versions that the sender of a `FetchControl` request already has.

    Parameters
    ----------
    generation : int
        Generation of the configuration in force; 0 means none.
    versions_by_index : Mapping
        Version of the catalogue of each index.
    """

    generation: int
    versions_by_index: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class FetchedControl:
    """Content of the reply to `FetchControl`.

    Parameters
    ----------
    state : ControlState
        Withdrawals and drains, and the configuration and catalogues that are
        newer than those of the requesting VM.
    vms : tuple of ListedVm
        VM list.
    list_age_ms : int or None
        Milliseconds since a relay read the VM list; None without a list.
    """

    state: ControlState
    vms: tuple[ListedVm, ...] = ()
    list_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimReport:
    """State of a claim and its result.

    Parameters
    ----------
    state : ClaimState
        State of the claim.
    answer : bytes or None
        Encoded answer of a finished request. It is empty if the answer is no
        longer stored, and None if it is not known whether the request ran.
    abandoned_age : datetime.timedelta
        Time since the claim was abandoned, zero in other states.
    """

    state: ClaimState
    answer: bytes | None = None
    abandoned_age: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class PeerHandlers:
    """Functions that handle the calls to this VM.

    Parameters
    ----------
    exchange : Callable
        Returns the reply to a heartbeat.
    fetch_control : Callable
        Returns the control state that a VM with some versions needs.
    claim_status : Callable
        Returns the state of a claim of this VM by its key.
    status : Callable
        Returns the status of this VM as a JSON document.
    explain : Callable
        Returns the JSON document that explains the request with an identifier.
    read_control : Callable
        Returns withdrawals and drains in the form of `control/state`.
    apply_control : Callable
        Applies an operator's change and returns the register after it.
    forget : Callable
        Takes the name of a stopped VM and whether to forward the command to
        the other VMs; returns whether the VM was known.
    """

    exchange: Callable[[Heartbeat], HeartbeatReply]
    fetch_control: Callable[[KnownVersions], FetchedControl]
    claim_status: Callable[[bytes], Awaitable[ClaimReport]]
    status: Callable[[], bytes]
    explain: Callable[[str], bytes]
    read_control: Callable[[], bytes]
    apply_control: Callable[[ControlChange], Register]
    forget: Callable[[str, bool], bool]
