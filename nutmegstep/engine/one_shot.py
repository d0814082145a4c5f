"""Handles one-shot (non-idempotent) requests.

A one-shot request is sent after its claim was won, and sent again only if the
target is known not to have executed it.
"""

from datetime import timedelta
from typing import Final

from nutmegstep.engine.control import refusal_reason
from nutmegstep.engine.effects import (
    CancelAttempt,
    CancelTimer,
    Effect,
    RecordClaimOutcome,
    ReplyAnswer,
    RequestClaim,
    SetTimer,
)
from nutmegstep.engine.events import (
    ClaimRefused,
    ClaimWon,
    FailureKind,
    OneShotArrived,
    StoredAnswerFound,
    TargetAnswered,
    TargetFailed,
    TimerKey,
    TimerKind,
)
from nutmegstep.engine.finishing import drain_if_idle
from nutmegstep.engine.permits import (
    close_one_shot,
    refuse_ready,
    refuse_sent,
    reply_refusal,
    returned_permit,
    send_or_refuse,
)
from nutmegstep.engine.sending import close_attempt
from nutmegstep.engine.state import (
    EngineState,
    OneShotClaiming,
    OneShotReady,
    OneShotSent,
)
from nutmegstep.model import Answer
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = [
    'on_claim_refused',
    'on_claim_won',
    'on_one_shot',
    'on_one_shot_answered',
    'on_one_shot_deadline',
    'on_one_shot_disconnected',
    'on_one_shot_failed',
    'on_stored_answer_found',
]

# A repeat that arrives before the platform has decided the claim of the first
# attempt only adds load there.
_CLAIM_RETRY_AFTER: Final = timedelta(seconds=1)


def on_one_shot(
    state: EngineState,
    event: OneShotArrived,
    now: float,
    effects: list[Effect],
) -> None:
    """Request the claim of a one-shot request, or refuse the request.

    Notes
    -----
    An earlier request with the same idempotency key may have run through
    another VM. Until the claim is decided the verdict is therefore
    `may_have_run`; the attempt verdict, which covers this request alone, is
    `not_run`.
    """
    request = event.request
    reason = refusal_reason(state, request.service, now)
    if reason is None and now >= request.deadline:
        reason = Reason.DEADLINE_EXCEEDED
    if reason is not None:
        refusal = _undecided_refusal(
            reason, 'refused before the claim was decided'
        )
        claiming = OneShotClaiming(event.query_id, request)
        reply_refusal(state, claiming, refusal, now, effects)
        return
    timer = TimerKey(TimerKind.DEADLINE, event.query_id)
    state.one_shots_by_id[event.query_id] = OneShotClaiming(
        event.query_id,
        request,
    )
    effects.append(SetTimer(timer, request.deadline))
    effects.append(
        RequestClaim(event.query_id, request.idempotency_key, request.deadline),
    )


def on_claim_won(
    state: EngineState,
    event: ClaimWon,
    now: float,
    effects: list[Effect],
) -> None:
    """Send a request whose claim was won, unless it has ended already."""
    one_shot = state.one_shots_by_id.get(event.query_id)
    if isinstance(one_shot, OneShotClaiming):
        ready = OneShotReady(one_shot.query_id, one_shot.request, event.permit)
        send_or_refuse(state, ready, now, effects)
        return
    if event.query_id in state.abandoned_claims:
        # The request ended before the claim was decided, so the claim is
        # released. The claim of any other request may belong to a request
        # that was sent, and is kept.
        state.abandoned_claims.discard(event.query_id)
        effects.append(
            RecordClaimOutcome(
                event.query_id,
                event.permit.idempotency_key,
                answer=None,
                may_have_run=False,
            ),
        )
        drain_if_idle(state, effects)


def on_stored_answer_found(
    state: EngineState,
    event: StoredAnswerFound,
    now: float,
    effects: list[Effect],
) -> None:
    """Reply with the stored answer of an earlier attempt."""
    if _remove_claiming(state, event.query_id, effects):
        effects.append(ReplyAnswer(event.query_id, event.answer))
    drain_if_idle(state, effects)


def on_claim_refused(
    state: EngineState,
    event: ClaimRefused,
    now: float,
    effects: list[Effect],
) -> None:
    """Reply with the refusal and the verdicts of the claim service."""
    one_shot = state.one_shots_by_id.get(event.query_id)
    removed = _remove_claiming(state, event.query_id, effects)
    if removed and one_shot is not None:
        reply_refusal(state, one_shot, event.refusal, now, effects)
    drain_if_idle(state, effects)


def on_one_shot_answered(
    state: EngineState,
    sent: OneShotSent,
    event: TargetAnswered,
    now: float,
    effects: list[Effect],
) -> None:
    """Reply with the answer and have it stored for repeats of the request."""
    attempt = close_attempt(state, event.attempt_id)
    if attempt is None or sent.attempt_id != event.attempt_id:
        return
    if event.index_version != sent.version:
        detail = 'the target answered from another index version'
        refuse_sent(state, sent, Reason.TARGET_FAILED, detail, now, effects)
        return
    answer = Answer(
        sent.request.service,
        event.index_version,
        (attempt.shard,),
        (),
        {attempt.shard: event.body},
    )
    close_one_shot(state, sent, answer, effects, may_have_run=True)
    effects.append(ReplyAnswer(sent.query_id, answer))
    drain_if_idle(state, effects)


def on_one_shot_failed(
    state: EngineState,
    sent: OneShotSent,
    event: TargetFailed,
    now: float,
    effects: list[Effect],
) -> None:
    """Send a request again if it was not executed, else refuse it."""
    attempt = close_attempt(state, event.attempt_id)
    if attempt is None or sent.attempt_id != event.attempt_id:
        return
    ready = returned_permit(sent, event, attempt.target)
    if ready is None:
        late = event.kind is FailureKind.TIMEOUT
        reason = Reason.DEADLINE_EXCEEDED if late else Reason.TARGET_FAILED
        detail = f'the target request failed: {event.kind.value}'
        refuse_sent(state, sent, reason, detail, now, effects)
        return
    if state.retries.spend():
        send_or_refuse(state, ready, now, effects)
        return
    detail = f'not executed ({event.kind.value}) and the retry budget is empty'
    refuse_ready(state, ready, Reason.TARGET_FAILED, detail, now, effects)


def on_one_shot_deadline(
    state: EngineState,
    query_id: int,
    now: float,
    effects: list[Effect],
) -> None:
    """Refuse a request whose deadline has passed."""
    one_shot = state.one_shots_by_id[query_id]
    if isinstance(one_shot, OneShotSent):
        close_attempt(state, one_shot.attempt_id)
        effects.append(CancelAttempt(one_shot.attempt_id))
        detail = 'the target did not answer before the deadline'
        refuse_sent(
            state, one_shot, Reason.DEADLINE_EXCEEDED, detail, now, effects
        )
        return
    if isinstance(one_shot, OneShotReady):
        detail = 'no target had a free slot before the deadline'
        refuse_ready(
            state, one_shot, Reason.DEADLINE_EXCEEDED, detail, now, effects
        )
        return
    _abandon_claim(state, query_id, effects)
    detail = 'the claim was not decided before the deadline'
    refusal = _undecided_refusal(Reason.DEADLINE_EXCEEDED, detail)
    reply_refusal(state, one_shot, refusal, now, effects)


def on_one_shot_disconnected(
    state: EngineState,
    query_id: int,
    effects: list[Effect],
) -> None:
    """Drop a request that was not sent; let one that was sent finish."""
    one_shot = state.one_shots_by_id[query_id]
    if isinstance(one_shot, OneShotSent):
        # The answer is stored for a repeat with the same idempotency key.
        return
    if isinstance(one_shot, OneShotReady):
        close_one_shot(state, one_shot, None, effects, may_have_run=False)
    else:
        _abandon_claim(state, query_id, effects)
    drain_if_idle(state, effects)


def _undecided_refusal(reason: Reason, detail: str) -> Refusal:
    return refuse(
        Verdict.MAY_HAVE_RUN,
        reason,
        detail,
        retry_after=_CLAIM_RETRY_AFTER,
        attempt_verdict=Verdict.NOT_RUN,
    )


def _remove_claiming(
    state: EngineState,
    query_id: int,
    effects: list[Effect],
) -> bool:
    state.abandoned_claims.discard(query_id)
    one_shot = state.one_shots_by_id.get(query_id)
    if not isinstance(one_shot, OneShotClaiming):
        return False
    del state.one_shots_by_id[query_id]
    effects.append(CancelTimer(TimerKey(TimerKind.DEADLINE, query_id)))
    return True


def _abandon_claim(
    state: EngineState,
    query_id: int,
    effects: list[Effect],
) -> None:
    if _remove_claiming(state, query_id, effects):
        state.abandoned_claims.add(query_id)
