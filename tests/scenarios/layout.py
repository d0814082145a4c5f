"""Builds the configuration, index versions and targets of a scenario."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from nutmegstep.model import (
    CoverageRule,
    Fleet,
    IndexVersion,
    Service,
    Shard,
    Target,
    WorkClass,
)
from tests.scenarios.targets import FakeTarget

__all__ = ['Layout', 'make_fleet', 'make_targets', 'make_version']


@dataclass(frozen=True)
class Layout:
    """Size and limits of the deployment that a scenario starts with."""

    shards: int = 2
    replicas: int = 2
    slots: int = 4
    cold_slots: int = 1
    vms: int = 2
    version: int = 41
    coverage: CoverageRule = CoverageRule.WHOLE
    work_class: WorkClass = WorkClass.INTERACTIVE
    ramp_seconds: float = 1


def make_fleet(
    layout: Layout,
    fakes: Iterable[FakeTarget],
    generation: int,
) -> Fleet:
    """Return a configuration with one service over all shards."""
    service = Service(
        'records',
        'index',
        ('all',),
        layout.work_class,
        layout.coverage,
        timedelta(seconds=10),
    )
    targets = {
        fake.name: Target(
            fake.name,
            '127.0.0.1',
            1,
            fake.failure_domain,
            fake.slots,
            fake.cold_slots,
            100,
            timedelta(seconds=layout.ramp_seconds),
        )
        for fake in fakes
    }
    return Fleet(
        generation,
        {service.name: service},
        targets,
        layout.vms,
        {'domain-0': 1, 'domain-1': 1},
    )


def make_version(
    layout: Layout,
    number: int,
    shards: int | None = None,
) -> IndexVersion:
    """Return an index version, by default with the shards of the layout."""
    names = [f's{position}' for position in range(shards or layout.shards)]
    return IndexVersion(
        number,
        {
            name: Shard(name, 'all', _replicas(layout, position))
            for position, name in enumerate(names)
        },
    )


def make_targets(layout: Layout) -> list[FakeTarget]:
    """Return the targets of all shards, each warm and at the first version."""
    return [
        FakeTarget(
            f't{shard}{replica}',
            f'domain-{replica % 2}',
            layout.slots,
            layout.cold_slots,
            (layout.version,),
        )
        for shard in range(layout.shards)
        for replica in range(layout.replicas)
    ]


def _replicas(layout: Layout, position: int) -> tuple[str, ...]:
    shard = position % layout.shards
    return tuple(f't{shard}{replica}' for replica in range(layout.replicas))
