"""Handles outcomes of target requests, timers and disconnected callers."""

from nutmegstep.engine import one_shot
from nutmegstep.engine.effects import Effect, ReplyAnswer, ReplyRefusal
from nutmegstep.engine.events import (
    CallerDisconnected,
    FailureKind,
    TargetAnswered,
    TargetFailed,
    TimerFired,
    TimerKind,
)
from nutmegstep.engine.explaining import record_outcome
from nutmegstep.engine.finishing import (
    close_query,
    detach_caller,
    drain_if_idle,
    finish_if_done,
    outcome_of,
)
from nutmegstep.engine.hedges import (
    cancel_other_attempts,
    has_other_attempt,
    on_hedge_timer,
)
from nutmegstep.engine.restarting import restart_or_finish
from nutmegstep.engine.sending import close_attempt, send_shard
from nutmegstep.engine.state import (
    AttemptState,
    EngineState,
    OneShotSent,
    QueryState,
)
from nutmegstep.engine.warming import record_answer, record_failure
from nutmegstep.model import Answer
from nutmegstep.verdict import Refusal

__all__ = [
    'on_caller_disconnected',
    'on_target_answered',
    'on_target_failed',
    'on_timer',
]


def on_target_answered(
    state: EngineState,
    event: TargetAnswered,
    now: float,
    effects: list[Effect],
) -> None:
    """Store the result of a shard and reply if no shard is pending."""
    attempt = state.attempts_by_id.get(event.attempt_id)
    if attempt is None:
        return
    record_answer(state, attempt, event, now, effects)
    sent = state.one_shots_by_id.get(attempt.query_id)
    if isinstance(sent, OneShotSent):
        one_shot.on_one_shot_answered(state, sent, event, now, effects)
        return
    close_attempt(state, event.attempt_id)
    query = state.queries_by_id.get(attempt.query_id)
    if query is not None:
        _store_answer(state, query, attempt, event, now, effects)


def on_target_failed(
    state: EngineState,
    event: TargetFailed,
    now: float,
    effects: list[Effect],
) -> None:
    """Send the request to another replica, or record the shard as lacking."""
    attempt = state.attempts_by_id.get(event.attempt_id)
    if attempt is None:
        return
    record_failure(state, attempt, event, now)
    sent = state.one_shots_by_id.get(attempt.query_id)
    if isinstance(sent, OneShotSent):
        one_shot.on_one_shot_failed(state, sent, event, now, effects)
        return
    close_attempt(state, event.attempt_id)
    query = state.queries_by_id.get(attempt.query_id)
    if query is None:
        return
    query.attempt_ids.discard(event.attempt_id)
    query.may_have_run = query.may_have_run or event.may_have_run
    if event.kind is FailureKind.VERSION_GONE:
        _record_held_versions(state, query, attempt, event, now)
    _retry_shard(state, query, attempt, event.kind.value, now, effects)


def on_timer(
    state: EngineState,
    event: TimerFired,
    now: float,
    effects: list[Effect],
) -> None:
    """Send hedges, or end a request whose deadline has passed."""
    if event.timer.kind is TimerKind.HEDGE:
        hedged = state.queries_by_id.get(event.timer.query_id)
        if hedged is not None:
            on_hedge_timer(state, hedged, now, effects)
        return
    query_id = event.timer.query_id
    if query_id in state.one_shots_by_id:
        one_shot.on_one_shot_deadline(state, query_id, now, effects)
        return
    query = state.query_by_caller.get(query_id)
    if query is not None:
        _on_deadline(state, query, query_id, now, effects)


def _on_deadline(
    state: EngineState,
    query: QueryState,
    query_id: int,
    now: float,
    effects: list[Effect],
) -> None:
    if len(query.callers) > 1:
        outcome = outcome_of(query)
        record_outcome(state, query, outcome, now, (query_id,))
        detach_caller(state, query, query_id, effects)
        effects.append(_reply_effect(query_id, outcome))
        return
    for shard in query.pending_shards:
        query.lacking_by_shard[shard] = 'deadline_exceeded'
    query.pending_shards.clear()
    finish_if_done(state, query, now, effects)


def on_caller_disconnected(
    state: EngineState,
    event: CallerDisconnected,
    now: float,
    effects: list[Effect],
) -> None:
    """End the request of a caller that has disconnected.

    A query continues while it has other callers.
    """
    if event.query_id in state.one_shots_by_id:
        one_shot.on_one_shot_disconnected(state, event.query_id, effects)
        return
    query = state.query_by_caller.get(event.query_id)
    if query is None:
        return
    if len(query.callers) > 1:
        detach_caller(state, query, event.query_id, effects)
    else:
        close_query(state, query, now, effects)
        drain_if_idle(state, effects)


def _reply_effect(caller: int, outcome: Answer | Refusal) -> Effect:
    if isinstance(outcome, Refusal):
        return ReplyRefusal(caller, outcome)
    return ReplyAnswer(caller, outcome)


def _store_answer(  # noqa: WPS211
    state: EngineState,
    query: QueryState,
    attempt: AttemptState,
    event: TargetAnswered,
    now: float,
    effects: list[Effect],
) -> None:
    query.attempt_ids.discard(event.attempt_id)
    query.may_have_run = True
    query.latency_window.add(now - attempt.started)
    if event.index_version != query.version:
        _retry_shard(state, query, attempt, 'other_version', now, effects)
        return
    state.version_holders.record_held(
        query.service.index, query.version, attempt.target
    )
    if attempt.shard not in query.pending_shards:
        return
    del query.pending_shards[attempt.shard]
    query.results_by_shard[attempt.shard] = event.body
    cancel_other_attempts(state, query, attempt, now, effects)
    finish_if_done(state, query, now, effects)


def _record_held_versions(
    state: EngineState,
    query: QueryState,
    attempt: AttemptState,
    event: TargetFailed,
    now: float,
) -> None:
    index = query.service.index
    for number in event.held_versions:
        state.version_holders.record_held(index, number, attempt.target)
    state.version_holders.record_not_held(
        index, query.version, attempt.target, now
    )


def _retry_shard(
    state: EngineState,
    query: QueryState,
    attempt: AttemptState,
    reason: str,
    now: float,
    effects: list[Effect],
) -> None:
    if attempt.shard not in query.pending_shards:
        return
    if has_other_attempt(state, query, attempt.shard):
        return
    shard = query.shards_by_name[attempt.shard]
    # A target without the version answers 409 and executes nothing. A version
    # that is not loaded yet fails for all shards at once: if these requests
    # spent retry tokens, the budget would be empty before the query restarts.
    if reason == FailureKind.VERSION_GONE.value or state.retries.spend():
        send_shard(state, query, shard, now, effects)
    else:
        del query.pending_shards[shard.name]
    if shard.name not in query.pending_shards:
        query.lacking_by_shard[shard.name] = reason
    restart_or_finish(state, query, shard, now, effects)
