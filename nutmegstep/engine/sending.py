"""Sends target requests or queues them until a target has a free slot.

Withdrawals and drains are checked in the same call of `reduce` that sends.
"""

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

_ENTRIES_BEFORE_CLEANUP: Final = 1024
_DEADLINE_EXCEEDED: Final = 'deadline_exceeded'


def open_attempt(
    state: EngineState,
    query_id: int,
    shard: str,
    target: str,
    now: float,
) -> int:
    """Record a request in flight and return its attempt identifier.

    Identifiers are not reused, so that a late answer cannot be taken for the
    answer to another attempt.
    """
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
    """Remove an attempt and free its slot.

    Returns
    -------
    AttemptState or None
        None if the attempt is unknown or already closed.
    """
    attempt = state.attempts_by_id.pop(attempt_id, None)
    if attempt is None:
        return None
    stats = state.targets.stats_by_name.get(attempt.target)
    # A target that was removed from the configuration has no statistics. One
    # that was added again starts with no request in flight.
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
    """Cancel an attempt and record for how long it had no answer.

    `overtaken` says that a later attempt at another replica was answered.
    """
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
    """Send the request of a shard, queue it, or record the shard as lacking."""
    # A VM that was paused may handle an outcome after the deadline.
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
    """Return the deadline of a target request.

    A request to a cold target ends after at most `COLD_REQUEST_SECONDS`.
    """
    if state.warmup.is_warm(target):
        return deadline
    return min(deadline, now + COLD_REQUEST_SECONDS)


def wait_for_slot(
    state: EngineState,
    query_id: int,
    shard: Shard,
    candidates: list[Target],
) -> None:
    """Queue a request until one of the candidates has a free slot."""
    for target in candidates:
        waiting = state.waiting_by_target.setdefault(target.name, {})
        if len(waiting) >= _ENTRIES_BEFORE_CLEANUP:
            _remove_stale_entries(state, waiting)
        waiting[(query_id, shard.name)] = None


def _remove_stale_entries(
    state: EngineState,
    waiting: dict[tuple[int, str], None],
) -> None:
    # A request is queued at each of its replicas and sent to one of them. The
    # entries at the others are removed when their turn comes, or here.
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
