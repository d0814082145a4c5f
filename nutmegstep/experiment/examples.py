"""Modelled deployments: one in its present size and in its planned size."""

from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import Final

from nutmegstep.experiment.fleet import FleetModel, QueryClass, ShardGroup

__all__ = ['FLEETS']


def _ms(milliseconds: float) -> timedelta:
    return timedelta(milliseconds=milliseconds)


def _catalogue(shards: int, slots: int, connections: int) -> ShardGroup:
    return ShardGroup(
        'catalogue',
        shards,
        slots,
        pause=_ms(150),
        pause_interval=_ms(3600),
        max_connections=connections,
    )


def _vidzeme_classes(
    per_second: float,
    required_coverage: tuple[float, float],
) -> tuple[QueryClass, ...]:
    sweep = QueryClass(
        'sweep',
        'catalogue',
        is_gather=True,
        per_second=per_second * 0.6,
        service_time=_ms(22.5),
        spread=0.35,
        target_latency=_ms(145),
        timeout=_ms(2000),
        required_coverage=required_coverage[0],
        tail_share=0.01,
        tail_factor=5,
        credit=2,
    )
    check = QueryClass(
        'check',
        'catalogue',
        is_gather=True,
        per_second=per_second * 0.2,
        service_time=_ms(7.5),
        spread=0.35,
        target_latency=_ms(69),
        timeout=_ms(1000),
        required_coverage=required_coverage[1],
        tail_share=0.01,
        tail_factor=5,
    )
    fetch = QueryClass(
        'fetch',
        'orders',
        is_gather=False,
        per_second=per_second * 0.2,
        service_time=_ms(130),
        spread=0.5,
        target_latency=_ms(540),
        timeout=_ms(8000),
        late_credit_share=0.3,
    )
    return (sweep, check, fetch)


def _orders() -> ShardGroup:
    return ShardGroup(
        'orders',
        1,
        slots=6,
        queue=24,
        targets_per_domain=3,
        connect=_ms(1),
        max_connections=100,
    )


FLEETS: Final[Mapping[str, FleetModel]] = MappingProxyType(
    {
        'vidzeme': FleetModel(
            domains=3,
            vms=7,
            groups=(_catalogue(10, 3, 31), _orders()),
            classes=_vidzeme_classes(112, (0.89, 0.75)),
            between_domains=_ms(1.4),
            to_callers=_ms(3),
            repeat_slack=54,
        ),
        'vidzeme-grown': FleetModel(
            domains=3,
            vms=65,
            groups=(_catalogue(36, 4, 64), _orders()),
            classes=_vidzeme_classes(70, (0.95, 0.85)),
            between_domains=_ms(1.4),
            to_callers=_ms(3),
            repeat_slack=170,
        ),
    },
)
"""Modelled deployments by name, with the figures of the users' pages."""
