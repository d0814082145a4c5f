"""Sends target requests and gathers their outcomes."""

from collections.abc import Iterator

import xxhash

from nutmegstep.coverage import build_answer
from nutmegstep.engine.effects import (
    CancelAttempt,
    CancelTimer,
    Effect,
    ReplyAnswer,
    ReplyRefusal,
    SendToTarget,
    SetTimer,
)
from nutmegstep.engine.events import (
    CallerGone,
    QueryArrived,
    TargetAnswered,
    TargetFailed,
    TimerFired,
    TimerKey,
    TimerKind,
)
from nutmegstep.engine.state import AttemptState, EngineState, QueryState
from nutmegstep.model import CoverageRule, IdempotentQuery, Shard
from nutmegstep.routing import choose_replica, usable_replicas
from nutmegstep.snapshot import choose_version, service_shards
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = [
    'on_caller_gone',
    'on_query',
    'on_target_answered',
    'on_target_failed',
    'on_timer',
]


def on_query(
    state: EngineState,
    event: QueryArrived,
    now: float,
) -> Iterator[Effect]:
    """Pin a version and send one target request per shard."""
    query = event.query
    service = state.fleet.services_by_name.get(query.service)
    if service is None:
        yield _refuse_unsent(event, Reason.UNKNOWN_SERVICE, 'not declared')
        return
    version = choose_version(state.versions_by_index.get(service.index, ()))
    if version is None:
        yield _refuse_unsent(
            event,
            Reason.SNAPSHOT_UNAVAILABLE,
            f'no version of index {service.index} is known',
        )
        return
    shards_by_name = _requested_shards(
        query,
        service_shards(service, version),
    )
    query_state = QueryState(
        event.query_id,
        query,
        service,
        version.number,
        shards_by_name,
        pending=set(shards_by_name),
    )
    state.queries_by_id[event.query_id] = query_state
    yield SetTimer(
        TimerKey(TimerKind.DEADLINE, event.query_id),
        query.deadline,
    )
    for shard in shards_by_name.values():
        yield from _send_shard(state, query_state, shard, now)
    yield from _finish_when_gathered(state, query_state)


def on_target_answered(
    state: EngineState,
    event: TargetAnswered,
    now: float,
) -> Iterator[Effect]:
    """Store the sub-answer of a shard."""
    attempt = _close_attempt(state, event.attempt_id)
    query = state.queries_by_id.get(attempt.query_id) if attempt else None
    if attempt is None or query is None:
        return
    query.attempt_ids.discard(event.attempt_id)
    if event.index_version != query.version:
        yield from _retry_shard(state, query, attempt, now)
        return
    query.pending.discard(attempt.shard)
    query.results_by_shard[attempt.shard] = event.body
    yield from _finish_when_gathered(state, query)


def on_target_failed(
    state: EngineState,
    event: TargetFailed,
    now: float,
) -> Iterator[Effect]:
    """Try another replica, or record the shard as lacking."""
    attempt = _close_attempt(state, event.attempt_id)
    query = state.queries_by_id.get(attempt.query_id) if attempt else None
    if attempt is None or query is None:
        return
    query.attempt_ids.discard(event.attempt_id)
    yield from _retry_shard(state, query, attempt, now)


def on_timer(
    state: EngineState,
    event: TimerFired,
    now: float,
) -> Iterator[Effect]:
    """End a query whose deadline has passed."""
    query = state.queries_by_id.get(event.timer.query_id)
    if query is None or event.timer.kind is not TimerKind.DEADLINE:
        return
    for shard in tuple(query.pending):
        query.lacking_by_shard[shard] = 'deadline_exceeded'
    query.pending.clear()
    yield from _finish_when_gathered(state, query)


def on_caller_gone(
    state: EngineState,
    event: CallerGone,
    now: float,
) -> Iterator[Effect]:
    """Cancel the attempts of a query whose caller has gone."""
    query = state.queries_by_id.pop(event.query_id, None)
    if query is not None:
        yield from _cancel_all(state, query)


def _refuse_unsent(
    event: QueryArrived,
    reason: Reason,
    detail: str,
) -> ReplyRefusal:
    refusal = refuse(Verdict.NOT_RUN, reason, detail)
    return ReplyRefusal(event.query_id, refusal)


def _requested_shards(
    query: IdempotentQuery,
    shards_by_name: dict[str, Shard],
) -> dict[str, Shard]:
    if query.record_key is None:
        return shards_by_name
    names = sorted(shards_by_name)
    position = xxhash.xxh3_64_intdigest(query.record_key.encode()) % len(names)
    return {names[position]: shards_by_name[names[position]]}


def _send_shard(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
) -> Iterator[Effect]:
    tried = query.tried_by_shard.setdefault(shard.name, set())
    candidates = [
        target
        for target in usable_replicas(
            shard,
            state.fleet.targets_by_name,
            state.withdrawn_domains,
            state.draining_targets,
        )
        if target.name not in tried
    ]
    target = choose_replica(
        candidates,
        state.in_flight_by_target,
        state.failure_domain,
    )
    if target is None:
        query.pending.discard(shard.name)
        query.lacking_by_shard[shard.name] = 'no_replica'
        return
    tried.add(target.name)
    state.last_attempt_id += 1
    attempt_id = state.last_attempt_id
    state.attempts_by_id[attempt_id] = AttemptState(
        query.query_id,
        shard.name,
        target.name,
        now,
    )
    state.in_flight_by_target[target.name] += 1
    query.attempt_ids.add(attempt_id)
    yield SendToTarget(
        attempt_id,
        query.query_id,
        target.name,
        shard.name,
        query.version,
        query.request.body,
        query.request.deadline,
        query.request.traceparent,
    )


def _close_attempt(
    state: EngineState,
    attempt_id: int,
) -> AttemptState | None:
    attempt = state.attempts_by_id.pop(attempt_id, None)
    if attempt is not None:
        state.in_flight_by_target[attempt.target] -= 1
    return attempt


def _retry_shard(
    state: EngineState,
    query: QueryState,
    attempt: AttemptState,
    now: float,
) -> Iterator[Effect]:
    shard = query.shards_by_name[attempt.shard]
    yield from _send_shard(state, query, shard, now)
    yield from _finish_when_gathered(state, query)


def _cancel_all(state: EngineState, query: QueryState) -> Iterator[Effect]:
    yield CancelTimer(TimerKey(TimerKind.DEADLINE, query.query_id))
    for attempt_id in query.attempt_ids:
        _close_attempt(state, attempt_id)
        yield CancelAttempt(attempt_id)


def _finish_when_gathered(
    state: EngineState,
    query: QueryState,
) -> Iterator[Effect]:
    if query.pending or query.query_id not in state.queries_by_id:
        return
    del state.queries_by_id[query.query_id]
    yield from _cancel_all(state, query)
    whole = query.service.coverage is CoverageRule.WHOLE
    if query.lacking_by_shard and (whole or not query.results_by_shard):
        yield ReplyRefusal(query.query_id, _incomplete(query))
        return
    answer = build_answer(
        query.service.name,
        query.version,
        query.results_by_shard,
        query.lacking_by_shard,
    )
    yield ReplyAnswer(query.query_id, answer)


def _incomplete(query: QueryState) -> Refusal:
    reasons = set(query.lacking_by_shard.values())
    late = 'deadline_exceeded' in reasons
    return refuse(
        Verdict.MAY_HAVE_RUN,
        Reason.DEADLINE_EXCEEDED if late else Reason.INCOMPLETE,
        f'{len(query.lacking_by_shard)} of {len(query.shards_by_name)} '
        f'shards are lacking: {sorted(reasons)}',
    )
