"""State of the claim reducer."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Final
from uuid import UUID

from nutmegstep.claims.journal import ClaimRecord
from nutmegstep.claims.local import LocalClaims

__all__ = [
    'ClaimReducerState',
    'JournalState',
    'PendingClaim',
    'WriteBudget',
    'journal_state',
]

_MAX_CACHED_JOURNALS: Final = 256
_MAX_CACHED_RECORDS: Final = 50_000
_WRITES_PER_SECOND: Final = 40


@dataclass(slots=True)
class PendingClaim:
    """A request whose claim has not been decided yet.

    Parameters
    ----------
    query_id : int
        Identifier of the request in the engine.
    key : uuid.UUID
        Idempotency key.
    fingerprint : int
        64-bit hash of the request's service, record key and body.
    journal : str
        Name of the journal.
    arrived : float
        Monotonic time in seconds at which the request arrived.
    deadline : float
        Monotonic time in seconds after which it must not be sent.
    nonce : bytes
        8 random bytes that identify this attempt.
    replaceable_nonce : bytes or None
        Nonce of an abandoned claim that this attempt may replace in the
        journal.
    """

    query_id: int
    key: UUID
    fingerprint: int
    journal: str
    arrived: float
    deadline: float
    nonce: bytes
    replaceable_nonce: bytes | None = None


@dataclass(slots=True)
class JournalState:
    """Cached journal and the claims that wait for it.

    Parameters
    ----------
    name : str
        Name of the platform object.
    version : str or None
        Version of the cached records, empty when the object does not
        exist, None when it must be read.
    records_by_key : dict
        Records of the journal at that version.
    pending_by_query : dict
        Claims that wait for the next read or write, by query identifier.
    batch : list of PendingClaim
        Claims of the write in flight, or of a write whose outcome is
        unknown until the journal is read again.
    busy : bool
        Whether a call for the journal is in flight.
    """

    name: str
    version: str | None = None
    records_by_key: dict[bytes, ClaimRecord] = field(default_factory=dict)
    pending_by_query: dict[int, PendingClaim] = field(default_factory=dict)
    batch: list[PendingClaim] = field(default_factory=list)
    busy: bool = False

    @property
    def idle(self) -> bool:
        """Whether no claim waits for the journal and no call is in flight."""
        return not (self.busy or self.batch or self.pending_by_query)


@dataclass(slots=True)
class WriteBudget:
    """Token bucket that limits the journal writes of one VM.

    Parameters
    ----------
    tokens : float
        Writes that may start now.
    updated : float
        Monotonic time in seconds at which `tokens` was computed.

    Notes
    -----
    The platform accepts several hundred writes per second from all VMs
    together; seven VMs with 40 writes per second each stay below that.
    """

    tokens: float = _WRITES_PER_SECOND
    updated: float = 0

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds to wait for one."""
        earned = (now - self.updated) * _WRITES_PER_SECOND
        self.tokens = min(_WRITES_PER_SECOND, self.tokens + earned)
        self.updated = now
        if self.tokens < 1:
            return (1 - self.tokens) / _WRITES_PER_SECOND
        self.tokens -= 1
        return 0


@dataclass(slots=True)
class ClaimReducerState:
    """State of the claim reducer.

    Parameters
    ----------
    incarnation : int
        64-bit random number of this run of the entry process.
    random : random.Random
        Source of nonces.
    local_claims : LocalClaims
        Claims of this VM.
    journals_by_name : OrderedDict
        Cached journals, the least recently used one first.
    awaiting_status_by_query : dict
        Requests that wait for the status of the claim that another attempt
        holds.
    status_retry_at_by_query : dict
        Monotonic time in seconds at which the status of a running claim is
        queried again, by the query identifier of the waiting request.
    write_budget : WriteBudget
        Limit of the journal writes of this VM.
    """

    incarnation: int
    random: Random
    local_claims: LocalClaims = field(default_factory=LocalClaims)
    journals_by_name: OrderedDict[str, JournalState] = field(
        default_factory=OrderedDict,
    )
    awaiting_status_by_query: dict[int, PendingClaim] = field(
        default_factory=dict
    )
    status_retry_at_by_query: dict[int, float] = field(default_factory=dict)
    write_budget: WriteBudget = field(default_factory=WriteBudget)


def journal_state(state: ClaimReducerState, name: str) -> JournalState:
    """Return the state of a journal, and create it if it is not cached.

    While the cache is too large, the least recently used idle journals are
    evicted.

    Notes
    -----
    A record takes 272 bytes in memory, so the limit of 50 000 records keeps
    the idle journals below 14 MB. Without it, the 32 full journals of one
    bucket would take 163 MB, more than a VM may use for control data.
    """
    journals = state.journals_by_name
    journal = journals.setdefault(name, JournalState(name))
    journals.move_to_end(name)
    while _is_too_large(journals):
        unused = next(
            (cached for cached in journals.values() if cached.idle),
            journal,
        )
        if unused is journal:
            break
        journals.pop(unused.name)
    return journal


def _is_too_large(journals: Mapping[str, JournalState]) -> bool:
    if len(journals) > _MAX_CACHED_JOURNALS:
        return True
    records = sum(len(cached.records_by_key) for cached in journals.values())
    return records > _MAX_CACHED_RECORDS
