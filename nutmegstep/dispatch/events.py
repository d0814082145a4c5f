"""Events that the dispatcher handles."""

import enum
from dataclasses import dataclass

from nutmegstep.coordinators import DelegationTerms
from nutmegstep.dispatch.account_events import AccountEvent
from nutmegstep.dispatch.control_events import ControlEvent
from nutmegstep.dispatch.replies import HeaderItems, TargetReply

__all__ = [
    'CallerLeft',
    'DelegationAccepted',
    'DelegationAnswered',
    'DelegationFailed',
    'Event',
    'HeaderItems',
    'RequestArrived',
    'RequestDue',
    'RoutedRequest',
    'SendFailed',
    'SendFailureKind',
    'TargetReplied',
    'TargetReply',
]


@enum.unique
class SendFailureKind(enum.Enum):
    """Reason why a send ended without a usable response.

    Attributes
    ----------
    CONNECT
        The request was not written: no connection could be opened, or none
        was free before the send expired.
    NO_RESPONSE
        The target closed the connection before the first byte of a response.
    RESET
        The connection was closed before the response was complete.
    INVALID
        The response cannot be parsed or used, is too long or belongs to
        another request.
    TIMEOUT
        The send expired after the request was written.
    CANCELLED
        The gateway cancelled the send after the request was written.
    NOT_WRITTEN
        The request was not written: it was cancelled before, or cannot be
        encoded.
    """

    CONNECT = 'connect'
    NO_RESPONSE = 'no_response'
    RESET = 'reset'
    INVALID = 'invalid'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'
    NOT_WRITTEN = 'not_written'

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have started to run the request."""
        return self not in {
            SendFailureKind.CONNECT,
            SendFailureKind.NOT_WRITTEN,
        }


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Complete request of a caller.

    Parameters
    ----------
    request_id : int
        Identifier within this process.
    attempt_id : str
        Identifier that the caller gave to this attempt.
    method : bytes
        HTTP method.
    target : bytes
        Path and query as received.
    host : str
        Value of the ``Host`` header.
    path : str
        Path without the query.
    headers : tuple of pairs
        Headers to forward.
    body : bytes
        Complete body.
    time_left : float or None
        Seconds for which the caller waits for an answer; None if the request
        does not state it.
    arrived_at : float
        Monotonic time in seconds at which the request was complete.
    is_first_on_connection : bool
        Whether it is the first request of its connection.
    delegated : DelegationTerms or None
        Terms of the neighbour that delegated the request to this VM; None if
        it comes from a caller.
    key_digest : str
        Digest of the caller's key; empty if it sent none that can be read.
    private_headers : frozenset of bytes
        Names of the headers that are not forwarded where the configuration has
        accounts.
    account : str or None
        Name of the caller's account, empty for a caller without one; None if the
        configuration has no accounts or this is not decided.
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
    delegated: DelegationTerms | None = None
    key_digest: str = ''
    private_headers: frozenset[bytes] = frozenset()
    account: str | None = None


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
    """The time that was set by a `WakeAt` effect has come."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TargetReplied:
    """A target sent a complete reply."""

    send_id: int
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class SendFailed:
    """A send ended without a usable reply."""

    send_id: int
    kind: SendFailureKind


@dataclass(frozen=True, slots=True)
class DelegationAccepted:
    """A coordinator confirmed that it has read a delegated query."""

    request_id: int
    delegation_id: int


@dataclass(frozen=True, slots=True)
class DelegationAnswered:
    """A coordinator answered a delegated query, possibly with a refusal.

    Parameters
    ----------
    request_id : int
        Request of the caller.
    delegation_id : int
        Delegation of the request that has ended.
    reply : TargetReply
        Answer of the coordinator.
    target_id : str
        Identifier of the target whose reply the answer is; empty for a refusal
        and for an answer that was merged from several replies.
    """

    request_id: int
    delegation_id: int
    reply: TargetReply
    target_id: str = ''


@dataclass(frozen=True, slots=True)
class DelegationFailed:
    """A delegated query ended without an answer of the coordinator.

    Parameters
    ----------
    request_id : int
        Request of the caller.
    delegation_id : int
        Delegation of the request that has ended.
    reason : str
        What happened, for the log.
    may_have_run : bool
        Whether targets may have got parts of the query.
    """

    request_id: int
    delegation_id: int
    reason: str
    may_have_run: bool


Event = (
    RequestArrived
    | CallerLeft
    | RequestDue
    | TargetReplied
    | SendFailed
    | DelegationAccepted
    | DelegationAnswered
    | DelegationFailed
    | ControlEvent
    | AccountEvent
)
