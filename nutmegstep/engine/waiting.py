"""Sends requests that wait for a free slot of a target."""

from nutmegstep.engine.effects import Effect
from nutmegstep.engine.finishing import finish_if_done
from nutmegstep.engine.permits import send_or_refuse
from nutmegstep.engine.sending import send_shard
from nutmegstep.engine.state import EngineState, OneShotReady

__all__ = ['send_waiting']


def send_waiting(
    state: EngineState,
    now: float,
    effects: list[Effect],
) -> None:
    """Send waiting requests to targets with freed slots, oldest first.

    `send_shard` and `send_or_refuse` check withdrawals and drains again.
    """
    # Requests that wait for full targets are checked too: a withdrawal, for
    # example, may have left them without a usable replica.
    names = tuple(state.waiting_by_target) if state.recheck_waiting else ()
    state.recheck_waiting = False
    for name in names:
        _send_waiting_for_target(state, name, now, effects, only_free=False)
    while state.targets_with_freed_slot:
        _send_waiting_for_target(
            state, state.targets_with_freed_slot.pop(), now, effects
        )


def _send_waiting_for_target(
    state: EngineState,
    target: str,
    now: float,
    effects: list[Effect],
    *,
    only_free: bool = True,
) -> None:
    waiting = state.waiting_by_target.get(target, {})
    # Each entry is taken once, because a request may be queued here again.
    left = len(waiting)
    while left and waiting:
        left -= 1
        stats = state.targets.stats_by_name.get(target)
        if only_free and stats is not None and not stats.has_free_slot:
            return
        query_id, shard = next(iter(waiting))
        del waiting[(query_id, shard)]
        _send_waiting_shard(state, query_id, shard, now, effects)


def _send_waiting_shard(
    state: EngineState,
    query_id: int,
    shard: str,
    now: float,
    effects: list[Effect],
) -> None:
    ready = state.one_shots_by_id.get(query_id)
    if isinstance(ready, OneShotReady):
        send_or_refuse(state, ready, now, effects)
        return
    query = state.queries_by_id.get(query_id)
    if query is None or shard not in query.waiting_shards:
        return
    query.waiting_shards.discard(shard)
    send_shard(state, query, query.shards_by_name[shard], now, effects)
    finish_if_done(state, query, now, effects)
