"""Claims that this VM made, kept in memory."""

import enum
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from nutmegstep.model import Answer

__all__ = ['ClaimPhase', 'ClaimStatus', 'LocalClaim', 'LocalClaims']

_ANSWER_RETENTION_SECONDS: Final = 60
_MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
_MAX_CLAIMS: Final = 100_000


@enum.unique
class ClaimPhase(enum.Enum):
    """State of a claim of this VM.

    Attributes
    ----------
    UNKNOWN
        The VM has no reliable information about the claim.
    RUNNING
        The claim is being written, or its request is being executed.
    FINISHED
        The request ran.
    MAY_HAVE_RUN
        The request was sent, and it is not known whether it ran.
    ABANDONED
        The attempt ended and its request did not run, so another attempt may
        claim the key.
    """

    UNKNOWN = 'unknown'
    RUNNING = 'running'
    FINISHED = 'finished'
    MAY_HAVE_RUN = 'may_have_run'
    ABANDONED = 'abandoned'


@dataclass(frozen=True, slots=True)
class ClaimStatus:
    """State of a claim as its claimer reports it.

    Parameters
    ----------
    phase : ClaimPhase
        State of the claim.
    answer : Answer or None
        Answer of a finished request, None once it is no longer stored.
    abandoned_age_s : float
        Seconds since the claim was abandoned, 0 in other phases.
    """

    phase: ClaimPhase
    answer: Answer | None = None
    abandoned_age_s: float = 0


@dataclass(slots=True)
class LocalClaim:
    """One claim of this VM.

    Parameters
    ----------
    nonce : bytes
        Identifies the attempt.
    phase : ClaimPhase
        State of the claim.
    since : float
        Monotonic time in seconds at which the phase began.
    fingerprint : int
        64-bit hash of the request's service, record key and body.
    answer : Answer or None
        Answer of a finished request, while it is stored.
    journal_may_differ : bool
        Whether the journal may hold an earlier claim of this VM for the same
        key, which was evicted from memory.
    """

    nonce: bytes
    phase: ClaimPhase
    since: float
    fingerprint: int
    answer: Answer | None = None
    journal_may_differ: bool = False


class LocalClaims:
    """Claims of this VM by key, bounded in number and in stored bytes.

    Notes
    -----
    An evicted claim is reported as unknown, which callers see as "may have
    run"; the journal still prevents a second run. An abandoned attempt is
    reported as unknown as well when an earlier claim of its key may have
    been evicted: the journal may still hold that claim, other VMs query the
    status of the claim in the journal, and its request may have run.
    """

    def __init__(self) -> None:
        self._has_evicted = False
        self._by_key: OrderedDict[bytes, LocalClaim] = OrderedDict()
        self._answer_sizes: OrderedDict[bytes, int] = OrderedDict()
        self._answer_bytes = 0

    def start(
        self,
        key: bytes,
        nonce: bytes,
        fingerprint: int,
        now: float,
    ) -> None:
        """Record the start of an attempt; evict the oldest excess claims."""
        self._drop_answer(key)
        previous = self._by_key.pop(key, None)
        journal_may_differ = (
            previous.journal_may_differ if previous else self._has_evicted
        )
        self._by_key[key] = LocalClaim(
            nonce,
            ClaimPhase.RUNNING,
            now,
            fingerprint,
            journal_may_differ=journal_may_differ,
        )
        while len(self._by_key) > _MAX_CLAIMS:
            self._has_evicted = True
            oldest = next(iter(self._by_key))
            self._drop_answer(oldest)
            self._by_key.pop(oldest)

    def confirm(self, key: bytes) -> None:
        """Record that the journal holds the latest attempt for a key."""
        claim = self._by_key.get(key)
        if claim is not None:
            claim.journal_may_differ = False

    def record_outcome(
        self,
        key: bytes,
        phase: ClaimPhase,
        now: float,
        answer: Answer | None = None,
    ) -> None:
        """Record the phase in which an attempt ended."""
        claim = self._by_key.get(key)
        if claim is None:
            return
        claim.phase = phase
        claim.since = now
        if answer is not None:
            claim.answer = answer
            self._answer_sizes[key] = _answer_size(answer)
            self._answer_bytes += self._answer_sizes[key]
        self._evict_answers(now)

    def nonce(self, key: bytes) -> bytes | None:
        """Return the nonce of the latest attempt for a key."""
        claim = self._by_key.get(key)
        return claim.nonce if claim else None

    def fingerprint(self, key: bytes) -> int | None:
        """Return the fingerprint of the latest attempt for a key."""
        claim = self._by_key.get(key)
        return claim.fingerprint if claim else None

    def status(self, key: bytes, now: float) -> ClaimStatus:
        """Return the status of the claim of a key."""
        self._evict_answers(now)
        claim = self._by_key.get(key)
        if claim is None:
            return ClaimStatus(ClaimPhase.UNKNOWN)
        abandoned = claim.phase is ClaimPhase.ABANDONED
        if abandoned and claim.journal_may_differ:
            return ClaimStatus(ClaimPhase.UNKNOWN)
        return ClaimStatus(
            claim.phase,
            claim.answer,
            now - claim.since if abandoned else 0,
        )

    def _evict_answers(self, now: float) -> None:
        while self._answer_sizes:
            oldest = next(iter(self._answer_sizes))
            age = now - self._by_key[oldest].since
            if (
                age < _ANSWER_RETENTION_SECONDS
                and self._answer_bytes <= _MAX_ANSWER_BYTES
            ):
                return
            self._drop_answer(oldest)

    def _drop_answer(self, key: bytes) -> None:
        size = self._answer_sizes.pop(key, None)
        if size is not None:
            self._answer_bytes -= size
            self._by_key[key].answer = None


def _answer_size(answer: Answer) -> int:
    return sum(len(found) for found in answer.results_by_shard.values())
