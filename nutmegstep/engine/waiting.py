"""Sends requests that wait for a free slot of a target."""

from nutmegstep.engine.effects import Effect
from nutmegstep.engine.finishing import finish_when_gathered
from nutmegstep.engine.permits import send_or_refuse
from nutmegstep.engine.sending import send_shard
from nutmegstep.engine.state import EngineState, OneShotReady

__all__ = ['serve_waiting']


def serve_waiting(
    state: EngineState,
    now: float,
    effects: list[Effect],
) -> None:
    """Give the slots that became free to waiting shards, oldest first.

    Withdrawals and drains are checked again by `send_shard`.
    """
    # Withdrawals and drains also concern shards that wait at full targets.
    names = tuple(state.waiting_by_target) if state.recheck_waiting else ()
    state.recheck_waiting = False
    for name in names:
        _serve_target(state, name, now, effects, only_free=False)
    while state.released:
        _serve_target(state, state.released.pop(), now, effects)


def _serve_target(
    state: EngineState,
    target: str,
    now: float,
    effects: list[Effect],
    *,
    only_free: bool = True,
) -> None:
    waiting = state.waiting_by_target.get(target, {})
    # Bounded by the length at the start: a shard may have to wait again.
    left = len(waiting)
    while left and waiting:
        left -= 1
        stats = state.targets.stats_by_name.get(target)
        if only_free and stats is not None and not stats.free:
            return
        query_id, shard = next(iter(waiting))
        del waiting[(query_id, shard)]
        _send_waiting(state, query_id, shard, now, effects)


def _send_waiting(
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
    if query is None or shard not in query.waiting:
        return
    query.waiting.discard(shard)
    send_shard(state, query, query.shards_by_name[shard], now, effects)
    finish_when_gathered(state, query, now, effects)
