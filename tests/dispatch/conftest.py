"""Dispatcher with three targets per shard, without a network."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta
from itertools import count
from random import Random
from typing import TypeVar

import pytest

from nutmegstep.configuration import (
    Configuration,
    Route,
    ServiceSpec,
    WeightedService,
)
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch import (
    ColdLimits,
    DispatchLimits,
    DispatchState,
    reduce_event,
)
from nutmegstep.dispatch.budget import BudgetLimits
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    TargetsListed,
)
from nutmegstep.dispatch.effects import Delegate, Effect, SendRequest
from nutmegstep.dispatch.events import (
    Event,
    RequestArrived,
    RoutedRequest,
    TargetReplied,
    TargetReply,
)

SHARDS = tuple(f'shard-{number}' for number in range(10))
HOST = 'shop.example'
LIMITS = DispatchLimits(
    BudgetLimits(0.2, 54, timedelta(seconds=10)),
    ColdLimits(1.5, 5),
)
_Kind = TypeVar('_Kind')


def reply(
    body: bytes = b'', status: int = 200, **fields: object
) -> TargetReply:
    """Return a successful reply of a target, changed by `fields`."""
    made = TargetReply(status, (), body, 'signed')
    return replace(made, **fields)  # type: ignore[arg-type]


SHED = reply(status=503, signature='', was_executed=False)


def configuration(version: int = 1) -> Configuration:
    """Return a configuration with four routes.

    They are a query over all shards, an idempotent request, a request that is
    not idempotent, and a request that is split over two services.
    """
    base = Route(
        'sweep',
        HOST,
        '/sweep/',
        is_idempotent=True,
        timeout=timedelta(seconds=2),
        target_latency=timedelta(milliseconds=145),
        priority=1,
        attempts=2,
        shards=SHARDS,
        top_records=2,
        required_coverage=0.89,
    )
    single = replace(
        base,
        shards=(),
        destinations=(WeightedService('orders', 1),),
        target_latency=timedelta(milliseconds=500),
    )
    routes = (
        base,
        replace(single, name='fetch', path_prefix='/fetch/'),
        replace(
            single,
            name='order',
            path_prefix='/order/',
            is_idempotent=False,
        ),
        replace(
            single,
            name='split',
            path_prefix='/split/',
            destinations=(
                WeightedService('orders', 3),
                WeightedService('shard-0', 1),
            ),
        ),
    )
    names = (*SHARDS, 'orders')
    services = {
        name: ServiceSpec(name, 31, timedelta(seconds=3), 0) for name in names
    }
    by_prefix = {route.path_prefix: route for route in routes}
    return Configuration(version, {HOST: by_prefix}, services)


def records() -> dict[str, TargetRecord]:
    """Return three targets of each service, one in each failure domain."""
    made = (
        TargetRecord(
            f'{service}-{domain}',
            service,
            '10.0.0.1',
            80,
            domain,
            3,
            is_draining=False,
            cold_until=0,
            started_ms=1,
        )
        for service in (*SHARDS, 'orders')
        for domain in ('north', 'south', 'west')
    )
    return {record.target_id: record for record in made}


class Dispatcher:
    """Applies events to a dispatcher state at times that the test sets."""

    def __init__(self) -> None:
        self.state = DispatchState('north', LIMITS, Random(1), started=0)
        self.now = 100.0
        self.effects: list[Effect] = []
        self._ids = count(1)
        self._delegations: dict[int, int] = {}

    def apply(self, event: Event) -> list[Effect]:
        """Apply an event; return and collect its effects."""
        made = reduce_event(self.state, event, self.now)
        self.effects.extend(made)
        self._delegations.update(
            (one.request.request_id, one.delegation_id)
            for one in made
            if isinstance(one, Delegate)
        )
        return made

    def ids_of(self, request: RoutedRequest) -> tuple[int, int]:
        """Return the identifiers of a request and its latest delegation."""
        return request.request_id, self._delegations[request.request_id]

    def request(
        self, path: str = '/sweep/x', **fields: object
    ) -> RoutedRequest:
        """Let a request of a caller arrive, changed by `fields`."""
        request = RoutedRequest(
            next(self._ids),
            'caller-1',
            b'GET',
            path.encode(),
            HOST,
            path,
            (),
            b'',
            2.0,
            self.now,
        )
        made = replace(request, **fields)  # type: ignore[arg-type]
        self.apply(RequestArrived(made))
        return made

    def effects_of(self, kind: type[_Kind]) -> list[_Kind]:
        """Return the collected effects of one type."""
        return [one for one in self.effects if isinstance(one, kind)]

    def answer(
        self,
        sends: Iterable[SendRequest],
        answer: TargetReply | None = None,
    ) -> None:
        """Let the targets of some sends reply."""
        for send in sends:
            self.apply(TargetReplied(send.send_id, answer or reply(b'r' * 16)))


@pytest.fixture
def dispatcher() -> Dispatcher:
    """Return a dispatcher that has read a configuration and targets."""
    made = Dispatcher()
    made.apply(ConfigurationChanged(configuration()))
    made.apply(TargetsListed(records()))
    made.effects.clear()
    return made
