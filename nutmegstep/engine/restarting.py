"""Starts queries at an index version and restarts them at another one."""

from nutmegstep.engine.effects import CancelTimer, Effect
from nutmegstep.engine.events import TimerKey, TimerKind
from nutmegstep.engine.finishing import (
    cancel_attempts,
    finish_if_done,
    refuse_query,
    sent_verdict,
)
from nutmegstep.engine.hedges import probe_slow_replica, set_hedge_timer
from nutmegstep.engine.replicas import (
    newest_usable_version,
    shard_of_record,
)
from nutmegstep.engine.sending import (
    send_shard,
)
from nutmegstep.engine.state import EngineState, QueryState
from nutmegstep.model import Shard
from nutmegstep.snapshot import MAX_RESTARTS, ServiceShardMap
from nutmegstep.verdict import Reason, refuse

__all__ = ['refuse_without_version', 'restart_or_finish', 'start_version']


def start_version(
    state: EngineState,
    query: QueryState,
    version: ServiceShardMap,
    now: float,
    effects: list[Effect],
) -> None:
    """Send the requests of a query for all shards of an index version.

    Results of another version that the query tried before are dropped.
    """
    if not version.names:
        detail = f'version {version.number} has no shard of the service'
        refuse_without_version(state, query, detail, now, effects)
        return
    if query.tried_versions:
        _reset_progress(query)
    query.version = version.number
    query.tried_versions.add(version.number)
    query.shards_by_name = _requested_shards(query.request.record_key, version)
    query.pending_shards = dict.fromkeys(query.shards_by_name)
    for budget in (state.retries, state.hedges):
        budget.earn(len(query.shards_by_name))
    for shard in query.shards_by_name.values():
        send_shard(state, query, shard, now, effects)
        probe_slow_replica(state, query, shard, now, effects)
    set_hedge_timer(query, now, effects)
    finish_if_done(state, query, now, effects)


def restart_or_finish(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
    effects: list[Effect],
) -> None:
    """Restart a query if a shard cannot be answered at the pinned version.

    Otherwise the query is finished if it is done.

    Notes
    -----
    The query restarts if the shard has no further attempt and at least one of
    its replicas does not hold the version: the replicas of another version may
    work. If no other version can be used, the query continues without the
    shard, or is refused if no replica of the shard holds the version.
    """
    replicas_without_version = _count_replicas_without_version(
        state, query, shard, now
    )
    if shard.name in query.pending_shards or not replicas_without_version:
        finish_if_done(state, query, now, effects)
        return
    version = _next_version(state, query, now)
    if version is None and replicas_without_version == len(shard.replicas):
        detail = f'no replica of shard {shard.name} holds the version'
        refuse_without_version(state, query, detail, now, effects)
        return
    if version is None:
        finish_if_done(state, query, now, effects)
        return
    cancel_attempts(state, query, now, effects)
    effects.append(CancelTimer(TimerKey(TimerKind.HEDGE, query.query_id)))
    start_version(state, query, version, now, effects)


def _reset_progress(query: QueryState) -> None:
    query.waiting_shards = set()
    query.hedged_shards = set()
    query.hedge_rounds = 0
    query.results_by_shard = {}
    query.lacking_by_shard = {}
    query.tried_targets_by_shard = {}


def _requested_shards(
    record_key: str | None,
    shards: ServiceShardMap,
) -> dict[str, Shard]:
    if record_key is None:
        return shards.shards_by_name
    shard = shard_of_record(record_key, shards)
    return {shard.name: shard}


def _count_replicas_without_version(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
) -> int:
    index = query.service.index
    return sum(
        state.version_holders.is_not_held(index, query.version, target, now)
        for target in shard.replicas
    )


def _next_version(
    state: EngineState,
    query: QueryState,
    now: float,
) -> ServiceShardMap | None:
    if len(query.tried_versions) > MAX_RESTARTS:
        return None
    if now >= query.deadline:
        return None
    version = newest_usable_version(
        state, query.service, now, query.tried_versions
    )
    if version is None or not state.restarts.spend():
        return None
    return version


def refuse_without_version(
    state: EngineState,
    query: QueryState,
    detail: str,
    now: float,
    effects: list[Effect],
) -> None:
    """Refuse a query because no index version can answer it."""
    refusal = refuse(
        sent_verdict(query),
        Reason.SNAPSHOT_UNAVAILABLE,
        detail,
    )
    refuse_query(state, query, refusal, now, effects)
