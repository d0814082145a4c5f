"""Effects that the reducer returns and the runtime performs."""

from dataclasses import dataclass
from uuid import UUID

from nutmegstep.engine.events import TimerKey
from nutmegstep.model import Answer, SendPermit
from nutmegstep.verdict import Refusal

__all__ = [
    'CancelAttempt',
    'CancelTimer',
    'Effect',
    'FinishDrain',
    'RecordClaimOutcome',
    'ReplyAnswer',
    'ReplyRefusal',
    'ReportWarm',
    'RequestClaim',
    'SendToTarget',
    'SetTimer',
]


@dataclass(frozen=True, slots=True)
class SendToTarget:
    """Send one target request.

    Parameters
    ----------
    attempt_id : int
        Identifier that the outcome event carries.
    query_id : int
        Query that the attempt belongs to.
    target : str
        Name of the target.
    shard : str
        Name of the shard.
    index_version : int
        Pinned snapshot.
    body : bytes
        JSON document.
    deadline : float
        Monotonic instant in seconds; passed on as a timeout.
    traceparent : str
        W3C trace context.
    fresh_connection : bool
        Open a new connection instead of reusing one.
    permit : SendPermit or None
        Set for one-shot requests only.
    """

    attempt_id: int
    query_id: int
    target: str
    shard: str
    index_version: int
    body: bytes
    deadline: float
    traceparent: str
    fresh_connection: bool = False
    permit: SendPermit | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt; a late answer is discarded."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerFired` at a monotonic instant in seconds."""

    timer: TimerKey
    at: float


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Forget a timer."""

    timer: TimerKey


@dataclass(frozen=True, slots=True)
class ReplyAnswer:
    """Send the answer to the caller."""

    query_id: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class ReplyRefusal:
    """Send the refusal to the caller."""

    query_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class RequestClaim:
    """Claim the key of a one-shot request at the platform."""

    query_id: int
    idempotency_key: UUID
    deadline: float


@dataclass(frozen=True, slots=True)
class RecordClaimOutcome:
    """Tell the claim service how a won claim ended.

    Parameters
    ----------
    query_id : int
        The one-shot request.
    idempotency_key : uuid.UUID
        Its key.
    answer : Answer or None
        The answer, kept for repeats of the request.
    may_have_run : bool
        False releases the claim for a later attempt.
    """

    query_id: int
    idempotency_key: UUID
    answer: Answer | None
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class ReportWarm:
    """Tell peers that a target is warm under a boot identifier."""

    target: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class FinishDrain:
    """No request is left; the process may stop."""


Effect = (
    SendToTarget
    | CancelAttempt
    | SetTimer
    | CancelTimer
    | ReplyAnswer
    | ReplyRefusal
    | RequestClaim
    | RecordClaimOutcome
    | ReportWarm
    | FinishDrain
)
