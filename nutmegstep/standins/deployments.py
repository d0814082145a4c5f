"""Shards, targets and service times of the two example deployments."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType
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
from nutmegstep.standins.target import TargetSettings

__all__ = [
    'DOMAIN_COUNT',
    'INDEX_VERSION',
    'SHAPES_BY_DEPLOYMENT',
    'GroupShape',
    'build_fleet',
    'build_version',
    'target_settings',
]

_DOMAINS: Final = ('domain-1', 'domain-2', 'domain-3')
DOMAIN_COUNT: Final = len(_DOMAINS)
#: Index version that is published when the stand-ins start.
INDEX_VERSION: Final = 41
_ENTRY_VMS_MAX: Final = 7
_MS_PER_SECOND: Final = 1000
_ONE_WAY_MS_BY_DEPLOYMENT: Final[Mapping[str, float]] = MappingProxyType(
    {'vidzeme': 1.5, 'lothian': 0.5},
)


@dataclass(frozen=True, slots=True)
class GroupShape:
    """Shards of one group and the limits of their targets.

    Parameters
    ----------
    name : str
        Name of the group.
    shards : int
        Number of shards.
    replicas : int
        Targets of each shard.
    slots : int
        Requests that a target executes at the same time.
    connections : int
        Maximum number of open connections of a target.
    mean_ms : float
        Mean service time in milliseconds.
    connect_ms : float
        Delay of the first request on a new connection in milliseconds.
    """

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    mean_ms: float
    connect_ms: float = 6


SHAPES_BY_DEPLOYMENT: Final[Mapping[str, tuple[GroupShape, ...]]] = (
    MappingProxyType(
        {
            'vidzeme': (
                GroupShape('catalogue', 10, 3, 3, 30, 6),
                GroupShape('planning', 15, 3, 3, 30, 6),
            ),
            'lothian': (
                GroupShape('award', 10, 3, 2, 25, 6),
                GroupShape('ledger', 15, 3, 2, 25, 6),
            ),
        }
    )
)


def build_version(deployment: str, number: int) -> IndexVersion:
    """Return an index version with the shard map of a deployment."""
    return IndexVersion(
        number,
        {
            shard.name: shard
            for shape in SHAPES_BY_DEPLOYMENT[deployment]
            for shard in _make_shards(shape)
        },
    )


def build_fleet(
    deployment: str,
    port_by_target: Mapping[str, int],
    entry_vms: int = 2,
) -> Fleet:
    """Return the configuration of a deployment on loopback addresses.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    port_by_target : Mapping
        TCP port of each target.
    entry_vms : int, optional
        Number of entry VMs of each failure domain.
    """
    shapes = SHAPES_BY_DEPLOYMENT[deployment]
    targets = {
        name: Target(
            name,
            '127.0.0.1',
            port_by_target[name],
            _DOMAINS[position % len(_DOMAINS)],
            shape.slots,
            1,
            shape.connections,
        )
        for shape in shapes
        for shard in _make_shards(shape)
        for position, name in enumerate(shard.replicas)
    }
    groups = tuple(shape.name for shape in shapes)
    service = Service(
        'all-records',
        'records',
        groups,
        WorkClass.INTERACTIVE,
        CoverageRule.WHOLE,
        timedelta(seconds=1),
    )
    return Fleet(
        1,
        {service.name: service},
        targets,
        _ENTRY_VMS_MAX,
        dict.fromkeys(_DOMAINS, entry_vms),
    )


def target_settings(
    deployment: str,
    service_scale: float = 1,
) -> list[tuple[Shard, TargetSettings]]:
    """Return the settings of every target, each with the shard it replicates.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    service_scale : float, optional
        Factor by which the mean service times are multiplied.

    Returns
    -------
    list of tuple of Shard and TargetSettings
        One pair for each target.

    Examples
    --------
    >>> len(target_settings('vidzeme'))
    75
    """
    one_way = _ONE_WAY_MS_BY_DEPLOYMENT[deployment] / _MS_PER_SECOND
    return [
        (
            shard,
            TargetSettings(
                name,
                position % DOMAIN_COUNT + 1,
                shape.slots,
                connections=shape.connections,
                connect_seconds=shape.connect_ms / _MS_PER_SECOND,
                mean_seconds=shape.mean_ms * service_scale / _MS_PER_SECOND,
                one_way_seconds=one_way,
            ),
        )
        for shape in SHAPES_BY_DEPLOYMENT[deployment]
        for shard in _make_shards(shape)
        for position, name in enumerate(shard.replicas)
    ]


def _make_shards(shape: GroupShape) -> list[Shard]:
    return [
        Shard(
            f'{shape.name}-{number:02d}',
            shape.name,
            tuple(
                f'{shape.name}-{number:02d}-{replica}'
                for replica in range(shape.replicas)
            ),
        )
        for number in range(shape.shards)
    ]
