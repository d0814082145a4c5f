"""Events and effects of the claim reducer."""

from dataclasses import dataclass
from datetime import datetime
from uuid import UUID

from nutmegstep.claims.local import ClaimStatus
from nutmegstep.engine.events import ClaimRefused, ClaimWon, StoredAnswerFound
from nutmegstep.model import Answer, OneShotRequest

__all__ = [
    'ClaimEffect',
    'ClaimEvent',
    'ClaimOutcomeKnown',
    'ClaimRequested',
    'ClaimStatusReceived',
    'JournalConflict',
    'JournalRead',
    'JournalReadFailed',
    'JournalWriteUnknown',
    'JournalWritten',
    'Notify',
    'QueryClaimStatus',
    'ReadJournal',
    'WakeAt',
    'Woken',
    'WriteJournal',
]


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A one-shot request arrived and must be claimed.

    Parameters
    ----------
    query_id : int
        Identifier of the request in the engine.
    request : OneShotRequest
        The request.
    arrival_time : datetime.datetime
        Time of arrival in UTC, by the system clock.
    """

    query_id: int
    request: OneShotRequest
    arrival_time: datetime


@dataclass(frozen=True, slots=True)
class JournalRead:
    """A journal was read.

    Parameters
    ----------
    name : str
        Name of the journal.
    version : str
        Version of the platform object, empty when it does not exist.
    document : bytes
        Content of the object.
    """

    name: str
    version: str
    document: bytes


@dataclass(frozen=True, slots=True)
class JournalReadFailed:
    """The read of a journal failed."""

    name: str


@dataclass(frozen=True, slots=True)
class JournalWritten:
    """A write of a journal took effect; `version` is the new version."""

    name: str
    version: str


@dataclass(frozen=True, slots=True)
class JournalConflict:
    """A write was rejected because the journal has another version."""

    name: str


@dataclass(frozen=True, slots=True)
class JournalWriteUnknown:
    """A write failed without a definite answer; it may have taken effect."""

    name: str


@dataclass(frozen=True, slots=True)
class ClaimStatusReceived:
    """A status query ended; `status` is None if the claimer did not reply."""

    query_id: int
    status: ClaimStatus | None


@dataclass(frozen=True, slots=True)
class ClaimOutcomeKnown:
    """The request of a claim that this VM won has ended.

    Parameters
    ----------
    key : uuid.UUID
        Idempotency key.
    answer : Answer or None
        Answer of the target; None when the request did not finish.
    may_have_run : bool
        Whether a request without an answer may have run.
    """

    key: UUID
    answer: Answer | None
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Woken:
    """The timer of a `WakeAt` effect has expired."""


ClaimEvent = (
    ClaimRequested
    | JournalRead
    | JournalReadFailed
    | JournalWritten
    | JournalConflict
    | JournalWriteUnknown
    | ClaimStatusReceived
    | ClaimOutcomeKnown
    | Woken
)


@dataclass(frozen=True, slots=True)
class ReadJournal:
    """Read a journal from the platform."""

    name: str


@dataclass(frozen=True, slots=True)
class WriteJournal:
    """Write a journal if it has the expected version.

    An empty expected version creates the journal if it does not exist.
    """

    name: str
    expected_version: str
    document: bytes


@dataclass(frozen=True, slots=True)
class QueryClaimStatus:
    """Query the status of a claim at the entry process that holds it.

    Parameters
    ----------
    query_id : int
        Identifier in the engine of the request that waits for the status.
    claimer : int
        Incarnation of the entry process.
    key : uuid.UUID
        Idempotency key.
    """

    query_id: int
    claimer: int
    key: UUID


@dataclass(frozen=True, slots=True)
class Notify:
    """Deliver an event to the engine."""

    event: ClaimWon | StoredAnswerFound | ClaimRefused


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Set a timer that delivers `Woken`; `at` is monotonic time in seconds."""

    at: float


ClaimEffect = ReadJournal | WriteJournal | QueryClaimStatus | Notify | WakeAt
