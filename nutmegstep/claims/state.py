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
    """A request whose claim is not decided yet.

    Parameters
    ----------
    query_id : int
        Identifier in the engine.
    key : uuid.UUID
        Idempotency key.
    fingerprint : int
        Hash of the request's content.
    journal : str
        Name of the journal.
    arrived, deadline : float
        Monotonic instants in seconds.
    nonce : bytes
        Identifies this attempt.
    replaceable_nonce : bytes or None
        Nonce of an abandoned claim that this attempt may take over.
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
        """Whether nothing waits for the journal."""
        return not (self.busy or self.batch or self.pending_by_query)


@dataclass(slots=True)
class WriteBudget:
    """Token bucket that bounds the claim writes of one VM.

    Notes
    -----
    The platform takes several hundred writes a second from all VMs
    together; seven VMs at 40 stay below.
    """

    tokens: float = _WRITES_PER_SECOND
    updated: float = 0

    def take(self, now: float) -> float:
        """Take a token; return the seconds to wait when there is none."""
        earned = (now - self.updated) * _WRITES_PER_SECOND
        self.tokens = min(_WRITES_PER_SECOND, self.tokens + earned)
        self.updated = now
        if self.tokens < 1:
            return (1 - self.tokens) / _WRITES_PER_SECOND
        self.tokens -= 1
        return 0


@dataclass(slots=True)
class ClaimReducerState:
    """Everything the claim reducer knows.

    Parameters
    ----------
    incarnation : int
        64-bit random number of this run of the entry process.
    random : random.Random
        Source of nonces.
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
    """Return the cached journal; forgets the longest unused idle ones.

    Notes
    -----
    A record takes 272 bytes in memory, so the bound on records keeps the
    journals that are not in use below 14 MB. Without it, 32 full journals of one bucket would take
    163 MB, more than a VM may spend on control.
    """
    journals = state.journals_by_name
    journal = journals.setdefault(name, JournalState(name))
    journals.move_to_end(name)
    while _is_too_large(journals):
        unused = next(
            (known for known in journals.values() if known.idle),
            journal,
        )
        if unused is journal:
            break
        journals.pop(unused.name)
    return journal


def _is_too_large(journals: Mapping[str, JournalState]) -> bool:
    if len(journals) > _MAX_CACHED_JOURNALS:
        return True
    records = sum(len(known.records_by_key) for known in journals.values())
    return records > _MAX_CACHED_RECORDS
