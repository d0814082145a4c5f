"""Selects replicas among the targets that may receive new requests."""

from collections.abc import Collection, Mapping, Sequence
from random import Random
from typing import Final

from nutmegstep.model import Shard, Target
from nutmegstep.routing.statistics import TargetStats, TargetTable

__all__ = ['PROBE_SHARE', 'choose_replica', 'is_slow', 'usable_replicas']

PROBE_SHARE: Final = 0.01
"""Share of the requests to a shard for which a slow replica is probed."""

_SLOW_FACTOR: Final = 2
"""Multiple of the latency of the fastest replica above which one is slow."""
_SLOW_MARGIN: Final = 0.005
"""Time in seconds that is added to this bound. Without it, the round trip of
3 ms between failure domains would make remote replicas of a fast service slow.
"""

_Candidate = tuple[Target, TargetStats]


def usable_replicas(
    shard: Shard,
    targets_by_name: Mapping[str, Target],
    withdrawn_domains: Collection[str],
    draining_targets: Collection[str],
) -> list[Target]:
    """Return the replicas that may receive new requests.

    Parameters
    ----------
    shard : Shard
        Shard whose replicas are considered.
    targets_by_name : Mapping
        Targets of the configuration in force.
    withdrawn_domains : Collection of str
        Names of withdrawn failure domains.
    draining_targets : Collection of str
        Names of targets that are draining.

    Returns
    -------
    list of Target
        Replicas in the order of the shard map.
    """
    known = (
        targets_by_name[name]
        for name in shard.replicas
        if name in targets_by_name
    )
    return [
        target
        for target in known
        if target.failure_domain not in withdrawn_domains
        and target.name not in draining_targets
    ]


def is_slow(stats: TargetStats, fastest: float) -> bool:
    """Return whether a target is much slower than the fastest replica.

    Parameters
    ----------
    stats : TargetStats
        Statistics of the target.
    fastest : float
        Mean latency of the fastest replica in seconds.
    """
    return stats.latency > _slow_bound(fastest)


def choose_replica(
    candidates: Sequence[Target],
    table: TargetTable,
    failure_domain: str,
    random: Random,
) -> Target | None:
    """Return the replica that a request is sent to.

    Two replicas are drawn at random, and the one with the lower product of
    mean latency and number of requests in flight plus one is chosen. Slow
    replicas are left out while a faster one is a candidate, even if that one
    has no free slot. Replicas in the failure domain of this VM are preferred.

    Parameters
    ----------
    candidates : Sequence of Target
        Replicas that may receive the request.
    table : TargetTable
        Statistics of this VM about the targets.
    failure_domain : str
        Failure domain of this VM.
    random : random.Random
        Random number generator.

    Returns
    -------
    Target or None
        None if no replica that is fast enough has a free slot.
    """
    if not candidates:
        return None
    stats_by_name = table.stats_by_name
    measured = [(target, stats_by_name[target.name]) for target in candidates]
    # Lists and indices are faster here than generators and unpacking; this
    # is the most frequent step of a query over many shards.
    bound = _slow_bound(min([pair[1].latency for pair in measured]))
    free = [
        pair
        for pair in measured
        if pair[1].has_free_slot and pair[1].latency <= bound
    ]
    local = [pair for pair in free if pair[0].failure_domain == failure_domain]
    return _better_of_two(local or free, random)


def _better_of_two(
    measured: list[_Candidate],
    random: Random,
) -> Target | None:
    if len(measured) < 2:
        return measured[0][0] if measured else None
    first = int(random.random() * len(measured))
    other = int(random.random() * (len(measured) - 1))
    if other >= first:
        other += 1
    left, left_stats = measured[first]
    right, right_stats = measured[other]
    return left if _cost(left_stats) <= _cost(right_stats) else right


def _slow_bound(fastest: float) -> float:
    return fastest * _SLOW_FACTOR + _SLOW_MARGIN


def _cost(stats: TargetStats) -> float:
    return stats.latency * (stats.in_flight + 1)
