"""Sends hedges and probes within the hedge budget.

A hedge is a second request for a shard, sent to another replica when the first
one has not answered after the usual time. A probe is a second request to a
slow replica, sent together with the first one to measure whether the replica
is still slow. The first answer is used, and the other request is cancelled.
"""

from typing import Final

from nutmegstep.engine.effects import Effect, SetTimer
from nutmegstep.engine.events import TimerKey, TimerKind
from nutmegstep.engine.replicas import (
    candidates_of,
    choose_free_target,
    untried_candidates,
)
from nutmegstep.engine.sending import (
    cancel_attempt,
    send_attempt,
)
from nutmegstep.engine.state import AttemptState, EngineState, QueryState
from nutmegstep.hedging import silence_timeout
from nutmegstep.model import Shard, Target
from nutmegstep.routing import PROBE_SHARE, is_slow

__all__ = [
    'cancel_other_attempts',
    'has_other_attempt',
    'on_hedge_timer',
    'probe_slow_replica',
    'set_hedge_timer',
]

_NONE_TRIED: Final[frozenset[str]] = frozenset()


def set_hedge_timer(
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """Set the hedge timer of a query to the hedge delay of its service."""
    timer = TimerKey(TimerKind.HEDGE, query.query_id)
    effects.append(SetTimer(timer, now + query.latency_window.hedge_delay))


def on_hedge_timer(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """Hedge the shards that have no answer yet.

    The timer expires twice at each index version: after the hedge delay and
    after the silence timeout. The second time, a shard without a free
    untried replica is sent to a tried one on a new connection.
    """
    if now >= query.deadline:
        return
    query.hedge_rounds += 1
    silent = query.hedge_rounds > 1
    for name in query.pending_shards:
        if name not in query.hedged_shards and name not in query.waiting_shards:
            shard = query.shards_by_name[name]
            _hedge(state, query, shard, now, effects, silent=silent)
    if query.pending_shards and not silent:
        wait = (
            silence_timeout(query.latency_window.p99)
            - query.latency_window.hedge_delay
        )
        timer = TimerKey(TimerKind.HEDGE, query.query_id)
        effects.append(SetTimer(timer, now + max(0, wait)))


def probe_slow_replica(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
    effects: list[Effect],
) -> None:
    """Send a copy of a few requests to a slow replica.

    Routing avoids slow replicas, so that otherwise nothing would show when
    one is fast again. The ordinary request is sent at the same time, and the
    query does not wait for the slow replica. Like a hedge, the probe spends a
    token of the hedge budget and is not sent without one.
    """
    if (
        state.random.random() >= PROBE_SHARE
        or shard.name in query.waiting_shards
    ):
        return
    stats_by_name = state.targets.stats_by_name
    others = untried_candidates(state, query, shard, now)
    known = candidates_of(state, shard, _NONE_TRIED, now)
    fastest = min(
        (stats_by_name[target.name].latency for target in known),
        default=0,
    )
    for target in others:
        stats = stats_by_name[target.name]
        if not is_slow(stats, fastest) or not stats.has_free_slot:
            continue
        if _may_probe(state, target, now) and state.hedges.spend():
            query.hedged_shards.add(shard.name)
            send_attempt(state, query, shard, target.name, now, effects)
            return


def has_other_attempt(
    state: EngineState, query: QueryState, shard: str
) -> bool:
    """Return whether a hedge or another attempt of a shard is in flight."""
    return shard in query.hedged_shards and any(
        state.attempts_by_id[attempt_id].shard == shard
        for attempt_id in query.attempt_ids
    )


def cancel_other_attempts(
    state: EngineState,
    query: QueryState,
    answered: AttemptState,
    now: float,
    effects: list[Effect],
) -> None:
    """Cancel the other attempts of a shard after one was answered."""
    if answered.shard not in query.hedged_shards:
        return
    others = [
        attempt_id
        for attempt_id in query.attempt_ids
        if state.attempts_by_id[attempt_id].shard == answered.shard
    ]
    for attempt_id in others:
        query.attempt_ids.discard(attempt_id)
        started = state.attempts_by_id[attempt_id].started
        cancel_attempt(
            state,
            attempt_id,
            now,
            effects,
            overtaken=started < answered.started,
        )


def _may_probe(state: EngineState, target: Target, now: float) -> bool:
    in_flight = state.targets.stats_by_name[target.name].in_flight
    warmup = state.warmup
    return warmup.is_warm(target.name) and warmup.may_send(
        target, in_flight, now
    )


def _hedge(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
    effects: list[Effect],
    *,
    silent: bool,
) -> None:
    target = choose_free_target(
        state, untried_candidates(state, query, shard, now), now
    )
    fresh = target is None and silent
    if fresh:
        # No untried replica is free. If only the connection is broken, a tried
        # one answers on a new connection.
        candidates = candidates_of(state, shard, _NONE_TRIED, now)
        target = choose_free_target(state, candidates, now)
    if target is None or not state.hedges.spend():
        return
    query.hedged_shards.add(shard.name)
    send_attempt(
        state,
        query,
        shard,
        target.name,
        now,
        effects,
        fresh_connection=fresh,
    )
