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
    """A one-shot request needs its claim.

    Parameters
    ----------
    query_id : int
        Identifier in the engine.
    request : OneShotRequest
        The request.
    date : datetime.datetime
        Date of arrival in UTC.
    """

    query_id: int
    request: OneShotRequest
    date: datetime


@dataclass(frozen=True, slots=True)
class JournalRead:
    """A journal was read; `version` is empty when it does not exist."""

    name: str
    version: str
    document: bytes


@dataclass(frozen=True, slots=True)
class JournalReadFailed:
    """The platform did not answer a read."""

    name: str


@dataclass(frozen=True, slots=True)
class JournalWritten:
    """A write took effect."""

    name: str
    version: str


@dataclass(frozen=True, slots=True)
class JournalConflict:
    """A write was rejected because the version has moved."""

    name: str


@dataclass(frozen=True, slots=True)
class JournalWriteUnknown:
    """The answer of a write was lost; it may have taken effect."""

    name: str


@dataclass(frozen=True, slots=True)
class ClaimStatusReceived:
    """The claimer said what became of a claim; None means no reply."""

    query_id: int
    status: ClaimStatus | None


@dataclass(frozen=True, slots=True)
class ClaimOutcomeKnown:
    """The engine is done with a claim that this VM won."""

    key: UUID
    answer: Answer | None
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Woken:
    """The instant of `WakeAt` has come."""


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
    """Write a journal if it has the expected version; empty creates it."""

    name: str
    expected_version: str
    document: bytes


@dataclass(frozen=True, slots=True)
class QueryClaimStatus:
    """Ask an entry process what became of its claim."""

    query_id: int
    claimer: int
    key: UUID


@dataclass(frozen=True, slots=True)
class Notify:
    """Deliver an event to the engine."""

    event: ClaimWon | StoredAnswerFound | ClaimRefused


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Deliver `Woken` at a monotonic instant in seconds."""

    at: float


ClaimEffect = ReadJournal | WriteJournal | QueryClaimStatus | Notify | WakeAt
