"""Sends target requests; withdrawals and drains are checked in the same step."""

from typing import Final

import xxhash

from nutmegstep.engine.effects import Effect, SendToTarget
from nutmegstep.engine.state import AttemptState, EngineState, QueryState
from nutmegstep.model import Shard, Target
from nutmegstep.routing import choose_replica, usable_replicas

__all__ = [
    'candidates_of',
    'close_attempt',
    'open_attempt',
    'requested_shard',
    'send_shard',
]

_NONE_TRIED: Final[frozenset[str]] = frozenset()


def requested_shard(
    record_key: str,
    shards_by_name: dict[str, Shard],
) -> Shard:
    """Return the shard that the hash of a record key chooses.

    Parameters
    ----------
    record_key : str
        Key of one record.
    shards_by_name : dict
        Shards of the service; not empty.
    """
    names = sorted(shards_by_name)
    position = xxhash.xxh3_64_intdigest(record_key.encode()) % len(names)
    return shards_by_name[names[position]]


def candidates_of(
    state: EngineState,
    shard: Shard,
    tried: frozenset[str] | set[str],
    now: float,
) -> list[Target]:
    """Return the replicas of a shard that may receive a request now."""
    leaving = state.leaving_until_by_target
    return [
        target
        for target in usable_replicas(
            shard,
            state.fleet.targets_by_name,
            state.withdrawn_domains,
            state.draining_targets,
        )
        if target.name not in tried and leaving.get(target.name, 0) <= now
    ]


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
    state.in_flight_by_target[target] += 1
    return attempt_id


def close_attempt(
    state: EngineState,
    attempt_id: int,
) -> AttemptState | None:
    """Forget an attempt; None when it is unknown or already closed."""
    attempt = state.attempts_by_id.pop(attempt_id, None)
    if attempt is not None:
        state.in_flight_by_target[attempt.target] -= 1
    return attempt


def send_shard(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
    effects: list[Effect],
) -> None:
    """Send the request of a shard, or record the shard as lacking."""
    tried = query.tried_by_shard.get(shard.name, _NONE_TRIED)
    target = choose_replica(
        _holders(state, query, shard, tried, now),
        state.in_flight_by_target,
        state.failure_domain,
    )
    if target is None:
        query.pending.discard(shard.name)
        query.lacking_by_shard.setdefault(shard.name, 'no_replica')
        return
    query.tried_by_shard[shard.name] = {*tried, target.name}
    attempt_id = open_attempt(
        state,
        query.query_id,
        shard.name,
        target.name,
        now,
    )
    query.attempt_ids.add(attempt_id)
    effects.append(
        SendToTarget(
            attempt_id,
            query.query_id,
            target.name,
            shard.name,
            query.version,
            query.request.body,
            query.request.deadline,
            query.request.traceparent,
        ),
    )


def _holders(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    tried: frozenset[str] | set[str],
    now: float,
) -> list[Target]:
    index = query.service.index
    return [
        target
        for target in candidates_of(state, shard, tried, now)
        if not state.held.lacks(index, query.version, target.name, now)
    ]
