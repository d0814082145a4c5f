"""Synthetic configurations and catalogues of a given size."""

from datetime import timedelta
from typing import Final

from nutmegstep.model import (
    CoverageRule,
    Fleet,
    IndexVersion,
    Service,
    Shard,
    Target,
    WorkClass,
)

__all__ = ['DOMAINS', 'REPLICAS', 'SERVICE', 'sized_fleet', 'sized_version']

REPLICAS: Final = 3
SERVICE: Final = 'all-records'
#: Failure domains at the design size, which `capacity_inputs.Size` describes.
DOMAINS: Final = tuple(f'domain-{number}' for number in range(1, 14))
_GROUP: Final = 'records'
_FIRST_PORT: Final = 20000
_PORTS: Final = 40000


def sized_fleet(targets: int, nodes: int = 6) -> Fleet:
    """Return a configuration of the given size.

    Parameters
    ----------
    targets : int
        Number of targets.
    nodes : int, optional
        Maximum number of entry VMs.

    Examples
    --------
    >>> len(sized_fleet(75).targets_by_name)
    75
    """
    service = Service(
        SERVICE,
        _GROUP,
        (_GROUP,),
        WorkClass.INTERACTIVE,
        CoverageRule.WHOLE,
        timedelta(seconds=1),
    )
    targets_by_name = {
        _target_name(number): Target(
            _target_name(number),
            '127.0.0.1',
            _FIRST_PORT + number % _PORTS,
            DOMAINS[number % len(DOMAINS)],
            3,
            1,
            30,
        )
        for number in range(targets)
    }
    per_domain = max(1, nodes // len(DOMAINS))
    return Fleet(
        1,
        {SERVICE: service},
        targets_by_name,
        nodes,
        dict.fromkeys(DOMAINS, per_domain),
    )


def sized_version(shards: int) -> IndexVersion:
    """Return an index version with three replicas of each shard.

    Examples
    --------
    >>> sized_version(2).shards_by_name['shard-00001'].replicas
    ('target-00003', 'target-00004', 'target-00005')
    """
    names = [f'shard-{number:05d}' for number in range(shards)]
    return IndexVersion(
        1,
        {
            name: Shard(
                name,
                _GROUP,
                tuple(
                    _target_name(number * REPLICAS + replica)
                    for replica in range(REPLICAS)
                ),
            )
            for number, name in enumerate(names)
        },
    )


def _target_name(number: int) -> str:
    return f'target-{number:05d}'
