"""Selects the index version, shards and replicas of a request."""

from collections.abc import Collection
from typing import Final

import xxhash

from nutmegstep.engine.state import EngineState, QueryState
from nutmegstep.model import Service, Shard, Target
from nutmegstep.routing import choose_replica, usable_replicas
from nutmegstep.snapshot import ServiceShardMap, choose_version

__all__ = [
    'candidates_of',
    'choose_free_target',
    'lacking_reason',
    'newest_usable_version',
    'service_shard_maps',
    'shard_of_record',
    'untried_candidates',
    'usable_targets',
]

_NONE_TRIED: Final[frozenset[str]] = frozenset()


def shard_of_record(
    record_key: str,
    shards: ServiceShardMap,
) -> Shard:
    """Return the shard of a record, selected by the hash of its key.

    Parameters
    ----------
    record_key : str
        Key of one record.
    shards : ServiceShardMap
        Shard map of the service; must not be empty.
    """
    names = shards.names
    position = xxhash.xxh3_64_intdigest(record_key.encode()) % len(names)
    return shards.shards_by_name[names[position]]


def usable_targets(state: EngineState, shard: Shard) -> list[Target]:
    """Return the replicas of a shard that are not withdrawn or draining."""
    usable = state.usable_targets_by_replicas.get(shard.replicas)
    if usable is None:
        usable = usable_replicas(
            shard,
            state.fleet.targets_by_name,
            state.withdrawn_domains,
            state.draining_targets,
        )
        state.usable_targets_by_replicas[shard.replicas] = usable
    return usable


def newest_usable_version(
    state: EngineState,
    service: Service,
    now: float,
    excluded: Collection[int] = (),
) -> ServiceShardMap | None:
    """Return the index version to which a request of a service is pinned.

    Returns
    -------
    ServiceShardMap or None
        The newest version for which every shard has a replica known to hold
        it, else the newest one that may be held; None if there is none beside
        the excluded ones.
    """
    maps = service_shard_maps(state, service)
    return choose_version(
        maps, service.index, state.version_holders, now, excluded
    )


def service_shard_maps(
    state: EngineState,
    service: Service,
) -> tuple[ServiceShardMap, ...]:
    """Return the shard map of a service in each version, newest first."""
    versions = state.versions_by_index.get(service.index, ())
    return state.shard_maps.newest_first(service, versions)


def candidates_of(
    state: EngineState,
    shard: Shard,
    tried: frozenset[str] | set[str],
    now: float,
) -> list[Target]:
    """Return the replicas of a shard to which this VM may send a request.

    They are not in `tried`, withdrawn or draining, and have not answered that
    they are draining. This VM holds a lease for each one that is cold.
    """
    is_warm_or_leased = state.warmup.is_warm_or_leased
    leaving_until = state.leaving_until_by_target
    return [
        target
        for target in usable_targets(state, shard)
        if target.name not in tried
        and is_warm_or_leased(target.name, now)
        and leaving_until.get(target.name, 0) <= now
    ]


def choose_free_target(
    state: EngineState,
    candidates: list[Target],
    now: float,
) -> Target | None:
    """Return the best candidate with a free slot, or None if there is none."""
    stats_by_name = state.targets.stats_by_name
    may_send = state.warmup.may_send
    return choose_replica(
        [
            target
            for target in candidates
            if may_send(target, stats_by_name[target.name].in_flight, now)
        ],
        state.targets,
        state.failure_domain,
        state.random,
    )


def untried_candidates(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
) -> list[Target]:
    """Return the candidates that a query has not tried for a shard.

    Targets known not to hold the pinned version are left out.
    """
    tried = query.tried_targets_by_shard.get(shard.name, _NONE_TRIED)
    candidates = candidates_of(state, shard, tried, now)
    index = query.service.index
    not_held = state.version_holders.not_held_until_by_target(
        index, query.version
    )
    if not not_held:
        return candidates
    return [
        target for target in candidates if not_held.get(target.name, now) <= now
    ]


def lacking_reason(
    state: EngineState,
    query: QueryState,
    shard: Shard,
    now: float,
) -> str:
    """Return why a query has no candidate for a shard.

    Returns
    -------
    str
        ``cold`` if an untried replica is cold and this VM holds no lease for
        it, else ``no_replica``.
    """
    tried = query.tried_targets_by_shard.get(shard.name, _NONE_TRIED)
    untried = (
        target.name
        for target in usable_targets(state, shard)
        if target.name not in tried
        and state.leaving_until_by_target.get(target.name, 0) <= now
    )
    is_warm_or_leased = state.warmup.is_warm_or_leased
    cold = any(not is_warm_or_leased(name, now) for name in untried)
    return 'cold' if cold else 'no_replica'
