"""Sends hedges and probes within the hedge budget."""

from typing import Final

from nutmegstep.engine.effects import Effect, SetTimer
from nutmegstep.engine.events import TimerKey, TimerKind
from nutmegstep.engine.replicas import (
    candidates_of,
    choose_free,
    untried_holders,
)
from nutmegstep.engine.sending import (
    give_up_attempt,
    send_attempt,
)
from nutmegstep.engine.state import AttemptState, EngineState, QueryState
from nutmegstep.hedging import silence_bound
from nutmegstep.model import Shard, Target
from nutmegstep.routing import PROBE_SHARE, is_slow

__all__ = [
    'arm_hedges',
    'cancel_twins',
    'has_twin',
    'on_hedge_timer',
    'probe_slow_replica',
]

_NONE_TRIED: Final[frozenset[str]] = frozenset()


def arm_hedges(
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """Set the one hedge timer of a query to the p95 of its service."""
    timer = TimerKey(TimerKind.HEDGE, query.query_id)
    effects.append(SetTimer(timer, now + query.window.hedge_delay))


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
    for name in query.pending:
        if name not in query.hedged and name not in query.waiting:
            shard = query.shards_by_name[name]
            _hedge(state, query, shard, now, effects, silent=silent)
    if query.pending and not silent:
        wait = silence_bound(query.window.tail) - query.window.hedge_delay
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
    if state.random.random() >= PROBE_SHARE or shard.name in query.waiting:
        return
    stats_by_name = state.targets.stats_by_name
    others = untried_holders(state, query, shard, now)
    known = candidates_of(state, shard, _NONE_TRIED, now)
    fastest = min(
        (stats_by_name[target.name].latency for target in known),
        default=0,
    )
    for target in others:
        stats = stats_by_name[target.name]
        if not is_slow(stats, fastest) or not stats.free:
            continue
        if _takes_probe(state, target, now) and state.hedges.spend():
            query.hedged.add(shard.name)
            send_attempt(state, query, shard, target.name, now, effects)
            return


def has_twin(state: EngineState, query: QueryState, shard: str) -> bool:
    """Return whether another attempt of a shard is in flight."""
    return shard in query.hedged and any(
        state.attempts_by_id[attempt_id].shard == shard
        for attempt_id in query.attempt_ids
    )


def cancel_twins(
    state: EngineState,
    query: QueryState,
    answered: AttemptState,
    now: float,
    effects: list[Effect],
) -> None:
    """Cancel the other attempts of a shard that has its answer."""
    if answered.shard not in query.hedged:
        return
    twins = [
        attempt_id
        for attempt_id in query.attempt_ids
        if state.attempts_by_id[attempt_id].shard == answered.shard
    ]
    for attempt_id in twins:
        query.attempt_ids.discard(attempt_id)
        started = state.attempts_by_id[attempt_id].started
        give_up_attempt(
            state,
            attempt_id,
            now,
            effects,
            overtaken=started < answered.started,
        )


def _takes_probe(state: EngineState, target: Target, now: float) -> bool:
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
    target = choose_free(state, untried_holders(state, query, shard, now), now)
    fresh = target is None and silent
    if fresh:
        # No other replica is left: a new connection to the same one works
        # when only the old connection went silent.
        candidates = candidates_of(state, shard, _NONE_TRIED, now)
        target = choose_free(state, candidates, now)
    if target is None or not state.hedges.spend():
        return
    query.hedged.add(shard.name)
    send_attempt(
        state,
        query,
        shard,
        target.name,
        now,
        effects,
        fresh_connection=fresh,
    )
