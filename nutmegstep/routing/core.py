"""Chooses replicas among the targets that may receive new work."""

from collections.abc import Collection, Mapping

from nutmegstep.model import Shard, Target

__all__ = ['choose_replica', 'usable_replicas']


def usable_replicas(
    shard: Shard,
    targets_by_name: Mapping[str, Target],
    withdrawn_domains: Collection[str],
    draining_targets: Collection[str],
) -> list[Target]:
    """Return the replicas that may receive new work.

    Parameters
    ----------
    shard : Shard
        The shard.
    targets_by_name : Mapping
        Targets of the configuration in force.
    withdrawn_domains : Collection of str
        Failure domains taken out of service.
    draining_targets : Collection of str
        Targets that are leaving.

    Returns
    -------
    list of Target
        In the order of the shard map.
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


def choose_replica(
    candidates: Collection[Target],
    in_flight_by_target: Mapping[str, int],
    failure_domain: str,
) -> Target | None:
    """Return the candidate with the fewest requests in flight.

    Among equals a target in `failure_domain` goes first.
    """
    return min(
        candidates,
        key=lambda target: (
            in_flight_by_target[target.name],
            target.failure_domain != failure_domain,
        ),
        default=None,
    )
