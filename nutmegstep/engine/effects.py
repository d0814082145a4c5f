"""Effects that the reducer returns and the runtime performs.

In replies and claims `query_id` is the number that the runtime gave to the
request of a caller; see `nutmegstep.engine.events`.
"""

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
        Identifier that `TargetAnswered` or `TargetFailed` must carry.
    query_id : int
        Query or one-shot request that the attempt belongs to.
    target : str
        Name of the target.
    shard : str
        Name of the shard.
    index_version : int
        Pinned index version.
    body : bytes
        JSON document.
    deadline : float
        Monotonic time in seconds; the target receives the time left until
        then.
    traceparent : str
        W3C trace context.
    fresh_connection : bool
        Open a new connection instead of reusing one.
    permit : SendPermit or None
        Permit of a one-shot request; None for queries.
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
    """Close the connection of an attempt and discard a late answer."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerFired` at a monotonic time in seconds."""

    timer: TimerKey
    at: float


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Cancel a timer; one that is not set is ignored."""

    timer: TimerKey


@dataclass(frozen=True, slots=True)
class ReplyAnswer:
    """Send an answer to a caller."""

    query_id: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class ReplyRefusal:
    """Send a refusal to a caller."""

    query_id: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class RequestClaim:
    """Claim the idempotency key of a one-shot request on the platform.

    The deadline is a monotonic time in seconds.
    """

    query_id: int
    idempotency_key: UUID
    deadline: float


@dataclass(frozen=True, slots=True)
class RecordClaimOutcome:
    """Report to the claim service how the request of a won claim ended.

    Parameters
    ----------
    query_id : int
        Identifier of the one-shot request.
    idempotency_key : uuid.UUID
        Idempotency key of the request.
    answer : Answer or None
        Answer to store for repeats of the request; None without an answer.
    may_have_run : bool
        Whether a target may have executed the request. If not, the claim is
        released, and a repeat of the request can win it.
    """

    query_id: int
    idempotency_key: UUID
    answer: Answer | None
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class ReportWarm:
    """Tell the peers that a target with this boot identifier is warm."""

    target: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class FinishDrain:
    """The drain is finished: no request is left, and the process may stop."""


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
