"""A reducer with two shards of three replicas each for the tests."""

from collections.abc import Callable
from datetime import timedelta
from random import Random
from types import MappingProxyType
from typing import Any

import pytest

from nutmegstep.engine import EngineState, reduce
from nutmegstep.engine.events import (
    CatalogueChanged,
    FleetChanged,
    QueryArrived,
    TargetReportedWarm,
)
from nutmegstep.model import (
    CoverageRule,
    Fleet,
    IdempotentQuery,
    IndexVersion,
    Service,
    Shard,
    Target,
    WorkClass,
)

SHARDS = MappingProxyType(
    {
        name: Shard(name, 'stock', tuple(f'{name}-{copy}' for copy in range(3)))
        for name in ('a', 'b')
    },
)


class Engine:
    """Applies events to a state and keeps the effects of the latest one."""

    def __init__(self, coverage: CoverageRule) -> None:
        self.state = EngineState('domain-0', Random(1))
        self.effects: list[Any] = []
        service = Service(
            'stock',
            'records',
            ('stock',),
            WorkClass.INTERACTIVE,
            coverage,
            timedelta(seconds=1),
        )
        targets = {
            name: Target(name, '::1', 1, f'domain-{name[-1]}', 4, 1, 80)
            for shard in SHARDS.values()
            for name in shard.replicas
        }
        self.apply(FleetChanged(Fleet(1, {'stock': service}, targets, 7, {})))
        self.publish_versions(1)
        for name in targets:
            self.apply(TargetReportedWarm(name, 'b'))

    def publish_versions(self, *numbers: int) -> None:
        """Replace the versions in the catalogue."""
        versions = tuple(IndexVersion(number, SHARDS) for number in numbers)
        self.apply(CatalogueChanged('records', versions))

    def apply(self, event: Any, now: float = 0) -> list[Any]:
        """Apply one event and return its effects."""
        self.effects = reduce(self.state, event, now)
        return self.effects

    def query(self, query_id: int = 1, now: float = 0, **fields: Any) -> None:
        """Apply the arrival of a query, by default with one second left."""
        fields.setdefault('body', str(query_id).encode())
        fields.setdefault('deadline', now + 1)
        query = IdempotentQuery(f'r-{query_id}', 'stock', **fields)
        self.apply(QueryArrived(query_id, query), now)

    def only_effect(self, kind: type) -> Any:
        """Return the only effect of a type of the latest event."""
        found = self.effects_of(kind)
        assert len(found) == 1
        return found[0]

    def effects_of(self, kind: type) -> list[Any]:
        """Return the effects of a type of the latest event."""
        return [effect for effect in self.effects if isinstance(effect, kind)]


@pytest.fixture
def build() -> Callable[..., Engine]:
    """Return a function that builds an engine for a coverage rule."""
    return lambda coverage=CoverageRule.WHOLE: Engine(coverage)
