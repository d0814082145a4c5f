"""What this VM knows of the claims that it made."""

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
    """How far a claim of this VM has got."""

    UNKNOWN = 'unknown'
    RUNNING = 'running'
    FINISHED = 'finished'
    MAY_HAVE_RUN = 'may_have_run'
    ABANDONED = 'abandoned'


@dataclass(frozen=True, slots=True)
class ClaimStatus:
    """Reply to the question what became of a claim.

    Parameters
    ----------
    phase : ClaimPhase
        How far the claim has got.
    answer : Answer or None
        Stored answer of a finished request, while it is kept.
    abandoned_age_s : float
        Seconds since the claim was abandoned.
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
        How far the claim has got.
    since : float
        Monotonic instant of the phase in seconds.
    fingerprint : int
        Hash of the request's content.
    answer : Answer or None
        Stored answer.
    journal_may_differ : bool
        Whether the journal may hold a forgotten claim of this VM instead.
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
    A forgotten claim is reported as unknown, which callers see as
    "may have run"; the journal still prevents a second run. The same holds
    for an abandoned attempt whose key may have a forgotten claim: peers ask
    about the claim in the journal, and that one may have run.
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
        """Record that an attempt is under way."""
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
        """Record that the journal holds the latest attempt of a key."""
        claim = self._by_key.get(key)
        if claim is not None:
            claim.journal_may_differ = False

    def settle(
        self,
        key: bytes,
        phase: ClaimPhase,
        now: float,
        answer: Answer | None = None,
    ) -> None:
        """Record how an attempt ended."""
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
        """Return the nonce of the latest attempt of a key."""
        claim = self._by_key.get(key)
        return claim.nonce if claim else None

    def fingerprint(self, key: bytes) -> int | None:
        """Return the fingerprint of the latest attempt of a key."""
        claim = self._by_key.get(key)
        return claim.fingerprint if claim else None

    def status(self, key: bytes, now: float) -> ClaimStatus:
        """Return what became of the claim of a key."""
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
