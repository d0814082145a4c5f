"""Sends target requests; withdrawals and drains are checked in the same step."""

from typing import Final

from nutmegstep.engine.effects import CancelAttempt, Effect, SendToTarget
from nutmegstep.engine.replicas import (
    choose_free_target,
    lacking_reason,
    untried_candidates,
)
from nutmegstep.engine.state import (
    AttemptState,
    EngineState,
    OneShotReady,
    QueryState,
)
from nutmegstep.model import Shard, Target
from nutmegstep.warmup import COLD_REQUEST_SECONDS

__all__ = [
    'cancel_attempt',
    'close_attempt',
    'open_attempt',
    'request_deadline',
    'send_attempt',
    'send_shard',
    'wait_for_slot',
]

_MAX_WAITING_ENTRIES: Final = 1024
_DEADLINE_EXCEEDED: Final = 'deadline_exceeded'


def open_attempt(
    state: EngineState,
    query_id: int,
    shard: str,
    target: str,
    now: float,
) -> int:
    """Count a request in flight and return its attempt identifier."""
    state.last_attempt_id += 1
    attempt_id = state.last_attempt_id
    state.attempts_by_id[attempt_id] = AttemptState(
        query_id,
        shard,
        target,
        now,
    )
    state.targets.stats_by_name[target].in_flight += 1
    return attempt_id


def close_attempt(
    state: EngineState,
    attempt_id: int,
) -> AttemptState | None:
    """Forget an attempt; None when it is unknown or already closed."""
    attempt = state.attempts_by_id.pop(attempt_id, None)
    if attempt is None:
        return None
    stats = state.targets.stats_by_name.get(attempt.target)
    # A target that left the configuration meanwhile has no statistics; one
    # that came back starts at zero.
    if stats is not None and stats.in_flight:
        stats.in_flight -= 1
        if state.waiting_by_target:
            state.targets_with_freed_slot.append(attempt.target)
    return attempt


def cancel_attempt(
    state: EngineState,
    attempt_id: int,
    now: float,
    effects: list[Effect],
    *,
    overtaken: bool = False,
) -> None:
    """Cancel an attempt and count its time as a lower bound."""
    attempt = close_attempt(state, attempt_id)
    if attempt is None:
        return
    stats = state.targets.stats_by_name.get(attempt.target)
    if stats is not None:
        count = stats.record_overtaken if overtaken else stats.record_cancelled
        count(now - attempt.started)
    effects.append(CancelAttempt(attempt_id))


def send_shard(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
    effects: list[Effect],
) -> None:
    """Send the request of a shard, let it wait, or record it as lacking."""
    # A paused VM may take up the outcome of an attempt after the deadline.
    in_time = now < query.deadline
    candidates = untried_candidates(state, query, shard, now) if in_time else []
    if not candidates:
        reason = (
            lacking_reason(state, query, shard, now)
            if in_time
            else _DEADLINE_EXCEEDED
        )
        del query.pending_shards[shard.name]
        query.lacking_by_shard.setdefault(shard.name, reason)
        return
    target = choose_free_target(state, candidates, now)
    if target is None:
        query.waiting_shards.add(shard.name)
        wait_for_slot(state, query.query_id, shard, candidates)
        return
    send_attempt(state, query, shard, target.name, now, effects)


def send_attempt(  # noqa: WPS211
    state: EngineState,
    query: QueryState,
    shard: Shard,
    target: str,
    now: float,
    effects: list[Effect],
    *,
    fresh_connection: bool = False,
) -> None:
    """Send the request of a shard to a target with a free slot."""
    tried = query.tried_targets_by_shard.get(shard.name)
    if tried is None:
        query.tried_targets_by_shard[shard.name] = {target}
    else:
        tried.add(target)
    attempt_id = open_attempt(state, query.query_id, shard.name, target, now)
    query.attempt_ids.add(attempt_id)
    effects.append(
        SendToTarget(
            attempt_id,
            query.query_id,
            target,
            shard.name,
            query.version,
            query.request.body,
            request_deadline(state, target, query.deadline, now),
            query.request.traceparent,
            fresh_connection,
        ),
    )


def request_deadline(
    state: EngineState,
    target: str,
    deadline: float,
    now: float,
) -> float:
    """Return the deadline of a target request; short for a cold target."""
    if state.warmup.is_warm(target):
        return deadline
    return min(deadline, now + COLD_REQUEST_SECONDS)


def wait_for_slot(
    state: EngineState,
    query_id: int,
    shard: Shard,
    candidates: list[Target],
) -> None:
    """Let a request wait until one of its replicas has a free slot."""
    for target in candidates:
        waiting = state.waiting_by_target.setdefault(target.name, {})
        if len(waiting) >= _MAX_WAITING_ENTRIES:
            _remove_stale_entries(state, waiting)
        waiting[(query_id, shard.name)] = None


def _remove_stale_entries(
    state: EngineState,
    waiting: dict[tuple[int, str], None],
) -> None:
    # A shard waits at each of its replicas and is sent from one; the entries
    # at the others are dropped when they are met, or here.
    ended = [
        (query_id, shard)
        for query_id, shard in waiting
        if not _is_waiting(state, query_id, shard)
    ]
    for entry in ended:
        del waiting[entry]


def _is_waiting(state: EngineState, query_id: int, shard: str) -> bool:
    query = state.queries_by_id.get(query_id)
    if query is not None:
        return shard in query.waiting_shards
    return isinstance(state.one_shots_by_id.get(query_id), OneShotReady)
