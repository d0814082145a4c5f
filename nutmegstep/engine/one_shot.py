"""Sends each one-shot request at most once, after its claim was won."""

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

# A repeat that comes back while the first attempt is being decided at the
# platform only adds load there.
_CLAIM_RETRY_AFTER: Final = timedelta(seconds=1)


def on_one_shot(
    state: EngineState,
    event: OneShotArrived,
    now: float,
    effects: list[Effect],
) -> None:
    """Ask for the claim, or refuse what cannot be served.

    Notes
    -----
    An earlier attempt of the key may have run elsewhere. Before the claim is
    decided the verdict is therefore `may_have_run`, and only the attempt
    verdict is `not_run`.
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
    """Send a request whose claim was won, unless it has ended meanwhile."""
    waiting = state.one_shots_by_id.get(event.query_id)
    if isinstance(waiting, OneShotClaiming):
        ready = OneShotReady(waiting.query_id, waiting.request, event.permit)
        send_or_refuse(state, ready, now, effects)
        return
    if event.query_id in state.abandoned_claims:
        # The caller was already answered: the claim must be released. A claim
        # of any other request may belong to a send and stays as it is.
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
    """Return the stored answer of an earlier attempt."""
    if _remove_claiming(state, event.query_id, effects):
        effects.append(ReplyAnswer(event.query_id, event.answer))
    drain_if_idle(state, effects)


def on_claim_refused(
    state: EngineState,
    event: ClaimRefused,
    now: float,
    effects: list[Effect],
) -> None:
    """Return the refusal of the claim service with its verdicts."""
    waiting = state.one_shots_by_id.get(event.query_id)
    forgotten = _remove_claiming(state, event.query_id, effects)
    if forgotten and waiting is not None:
        reply_refusal(state, waiting, event.refusal, now, effects)
    drain_if_idle(state, effects)


def on_one_shot_answered(
    state: EngineState,
    sent: OneShotSent,
    event: TargetAnswered,
    now: float,
    effects: list[Effect],
) -> None:
    """Return the answer and keep it for repeats of the request."""
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
    """Send again only when the failed send was proved not executed."""
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
    detail = f'not executed ({event.kind.value}), the retry budget is empty'
    refuse_ready(state, ready, Reason.TARGET_FAILED, detail, now, effects)


def on_one_shot_deadline(
    state: EngineState,
    query_id: int,
    now: float,
    effects: list[Effect],
) -> None:
    """Refuse a request whose deadline has passed."""
    waiting = state.one_shots_by_id[query_id]
    if isinstance(waiting, OneShotSent):
        close_attempt(state, waiting.attempt_id)
        effects.append(CancelAttempt(waiting.attempt_id))
        detail = 'no answer of the target within the deadline'
        refuse_sent(
            state, waiting, Reason.DEADLINE_EXCEEDED, detail, now, effects
        )
        return
    if isinstance(waiting, OneShotReady):
        detail = 'no slot became free within the deadline'
        refuse_ready(
            state, waiting, Reason.DEADLINE_EXCEEDED, detail, now, effects
        )
        return
    _abandon_claim(state, query_id, effects)
    detail = 'the claim was not decided within the deadline'
    refusal = _undecided_refusal(Reason.DEADLINE_EXCEEDED, detail)
    reply_refusal(state, waiting, refusal, now, effects)


def on_one_shot_disconnected(
    state: EngineState,
    query_id: int,
    effects: list[Effect],
) -> None:
    """Let a sent request finish for repeats; give up an unsent one."""
    waiting = state.one_shots_by_id[query_id]
    if isinstance(waiting, OneShotSent):
        # The caller will repeat the key: the stored answer serves the repeat.
        return
    if isinstance(waiting, OneShotReady):
        close_one_shot(state, waiting, None, effects, may_have_run=False)
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
    waiting = state.one_shots_by_id.get(query_id)
    if not isinstance(waiting, OneShotClaiming):
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
