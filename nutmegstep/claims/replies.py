"""Refusals and stored answers for requests that may not be sent."""

from types import MappingProxyType
from typing import Final

from nutmegstep.claims.local import ClaimPhase, ClaimStatus
from nutmegstep.claims.messages import Notify
from nutmegstep.claims.state import PendingClaim
from nutmegstep.engine.events import ClaimRefused, StoredAnswerFound
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = [
    'refuse_claimed',
    'refuse_expired',
    'refuse_full',
    'refuse_reused',
    'refuse_unavailable',
    'reply_finished',
]

_VERDICT_BY_PHASE: Final = MappingProxyType(
    {
        ClaimPhase.FINISHED: Verdict.RAN,
    }
)


def refuse_unavailable(pending: PendingClaim) -> Notify:
    """Refuse a request because its journal could not be read or decoded."""
    return _notify(
        pending,
        _refuse_unsent(
            Verdict.MAY_HAVE_RUN,
            Reason.CLAIM_UNAVAILABLE,
            'the platform did not answer; this attempt was not sent, but an '
            'earlier one with the same key may have run',
        ),
    )


def refuse_full(pending: PendingClaim) -> Notify:
    """Refuse a request because the journal has no space for its claim."""
    return _notify(
        pending,
        _refuse_unsent(
            Verdict.MAY_HAVE_RUN,
            Reason.CLAIM_UNAVAILABLE,
            'the claim journal of this key is full; this attempt was not sent',
        ),
    )


def refuse_expired(pending: PendingClaim, verdict: Verdict) -> Notify:
    """Refuse a request because its deadline passed before it was sent."""
    return _notify(
        pending,
        _refuse_unsent(
            verdict,
            Reason.DEADLINE_EXCEEDED,
            'the deadline passed before the claim was decided',
        ),
    )


def refuse_reused(pending: PendingClaim) -> Notify:
    """Refuse a request because its key was used for another request."""
    return _notify(
        pending,
        _refuse_unsent(
            Verdict.MAY_HAVE_RUN,
            Reason.KEY_REUSED,
            'the key was used before with another service, record or body',
        ),
    )


def refuse_claimed(pending: PendingClaim, phase: ClaimPhase) -> Notify:
    """Refuse a request because another attempt holds the claim."""
    return _notify(
        pending,
        _refuse_unsent(
            _VERDICT_BY_PHASE.get(phase, Verdict.MAY_HAVE_RUN),
            Reason.ALREADY_CLAIMED,
            f'another attempt with this key holds the claim: {phase.value}',
        ),
    )


def reply_finished(pending: PendingClaim, status: ClaimStatus) -> Notify:
    """Deliver the stored answer; without one, refuse a request that ran."""
    if status.answer is None:
        return refuse_claimed(pending, status.phase)
    return Notify(StoredAnswerFound(pending.query_id, status.answer))


def _refuse_unsent(verdict: Verdict, reason: Reason, detail: str) -> Refusal:
    return refuse(verdict, reason, detail, attempt_verdict=Verdict.NOT_RUN)


def _notify(pending: PendingClaim, refusal: Refusal) -> Notify:
    return Notify(ClaimRefused(pending.query_id, refusal))
