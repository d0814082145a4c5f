"""Sends hedges and probes within the hedge budget."""

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
    """Set the one hedge timer of a query to the p95 of its service."""
    timer = TimerKey(TimerKind.HEDGE, query.query_id)
    effects.append(SetTimer(timer, now + query.latency_window.hedge_delay))


def on_hedge_timer(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """Hedge the shards that have no answer; the second time from silence."""
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
    """Send a copy of a request to a slow replica, seldom.

    The ordinary request is the hedge that is armed at once; the probe takes
    the token, so an empty budget means no probe.
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
    """Return whether another attempt of a shard is in flight."""
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
    """Cancel the other attempts of a shard that has its answer."""
    if answered.shard not in query.hedged_shards:
        return
    twins = [
        attempt_id
        for attempt_id in query.attempt_ids
        if state.attempts_by_id[attempt_id].shard == answered.shard
    ]
    for attempt_id in twins:
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
        # No other replica is left: a new connection to the same one works
        # when only the old connection went silent.
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
