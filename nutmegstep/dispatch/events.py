"""Events of the dispatcher: what callers, targets and the store report."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from nutmegstep.configuration import Configuration
from nutmegstep.discovery import TargetRecord

__all__ = [
    'CallerLeft',
    'ConfigurationChanged',
    'DomainsWithdrawn',
    'Event',
    'HeaderItems',
    'HousekeepingDue',
    'RequestArrived',
    'RequestDue',
    'RoutedRequest',
    'SendFailed',
    'SendFailureKind',
    'StoreRecovered',
    'TargetAnnounced',
    'TargetRemoved',
    'TargetReplied',
    'TargetReply',
    'TargetsListed',
    'TargetsSuspected',
    'VmsCounted',
]

HeaderItems = tuple[tuple[bytes, bytes], ...]


@enum.unique
class SendFailureKind(enum.Enum):
    """Why a send ended without a reply."""

    CONNECT = 'connect'
    RESET = 'reset'
    INVALID = 'invalid'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have worked on the request."""
        return self is not SendFailureKind.CONNECT


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request of a caller that was read completely.

    Parameters
    ----------
    request_id : int
        Identifier within this process.
    attempt_id : str
        Identifier that the caller gave to this attempt.
    method : bytes
        Method.
    target : bytes
        Path and query as received.
    host : str
        Value of the ``Host`` header.
    path : str
        Path without the query.
    headers : tuple of pairs
        Headers to forward.
    body : bytes
        Whole body.
    time_left : float or None
        Seconds for which the caller waits; None when it does not say.
    arrived_at : float
        Monotonic instant at which the request was complete.
    is_first_on_connection : bool
        Whether it is the first request of its connection.
    """

    request_id: int
    attempt_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: HeaderItems
    body: bytes
    time_left: float | None
    arrived_at: float
    is_first_on_connection: bool = False


@dataclass(frozen=True, slots=True)
class TargetReply:
    """A complete reply of a target.

    Parameters
    ----------
    status : int
        Status code.
    headers : tuple of pairs
        Headers to pass on.
    body : bytes
        Whole body.
    signature : str
        Proof of origin; empty when it is missing.
    was_executed : bool
        False when the target states that it did not run the request.
    is_misdirected : bool
        Whether another target answered at the address.
    """

    status: int
    headers: HeaderItems
    body: bytes
    signature: str
    was_executed: bool = True
    is_misdirected: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the reply is a usable answer."""
        return 200 <= self.status < 300 and bool(self.signature)


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request."""

    request: RoutedRequest


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection before its answer."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestDue:
    """The instant asked for by `WakeAt` has come."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TargetReplied:
    """A target sent a complete reply."""

    send_id: int
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class SendFailed:
    """A send ended without a reply."""

    send_id: int
    kind: SendFailureKind


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A version of the configuration was read."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """All announcements of targets were read."""

    records_by_id: Mapping[str, TargetRecord]


@dataclass(frozen=True, slots=True)
class TargetAnnounced:
    """An announcement of a target appeared or changed."""

    record: TargetRecord


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """An announcement disappeared or cannot be read."""

    target_id: str


@dataclass(frozen=True, slots=True)
class DomainsWithdrawn:
    """The set of withdrawn failure domains was read."""

    domains: frozenset[str]


@dataclass(frozen=True, slots=True)
class StoreRecovered:
    """The store answers again after it was out of reach."""


@dataclass(frozen=True, slots=True)
class VmsCounted:
    """The number of VMs that share targets was estimated.

    Parameters
    ----------
    count : int
        All VMs, this one included.
    in_domain : int
        Those of the own failure domain, this one included.
    """

    count: int
    in_domain: int


@dataclass(frozen=True, slots=True)
class TargetsSuspected:
    """Another VM waited too long for targets.

    Parameters
    ----------
    target_ids : tuple of str
        Targets.
    reporter : str
        Address of the other VM.
    """

    target_ids: tuple[str, ...]
    reporter: str


@dataclass(frozen=True, slots=True)
class HousekeepingDue:
    """Time to drop entries that lapsed for good."""


Event = (
    RequestArrived
    | CallerLeft
    | RequestDue
    | TargetReplied
    | SendFailed
    | ConfigurationChanged
    | TargetsListed
    | TargetAnnounced
    | TargetRemoved
    | DomainsWithdrawn
    | StoreRecovered
    | VmsCounted
    | TargetsSuspected
    | HousekeepingDue
)
