"""Orders of roll-outs in the store: decoding, and conditional writes of their state."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

import pytest
from prometheus_client import CollectorRegistry, Counter
from returns.pipeline import is_successful

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch.effects import WriteRollout
from nutmegstep.dispatch.events import Event
from nutmegstep.dispatch.rollout_events import RolloutsListed, RolloutStored
from nutmegstep.gateway.rollout_store import RolloutWriter
from nutmegstep.gateway.subscriptions import StoreSubscriptions
from nutmegstep.platform.core import ADAPTER
from nutmegstep.platform.documents import read_target
from nutmegstep.platform.rollouts import read_rollout
from nutmegstep.platform.store import ObjectStore
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.rollouts import Outcome, RolloutOrder
from tests.platform.status_store import StatusStore

_SPEC = {'service': 'orders', 'target_revision': 'v2', 'duration_s': 12}
_STATUS = {'state': 'reverted', 'target_revision': 'v2'}


class _Pair:
    """A stand-in of the store, its client, and the events of its orders."""

    def __init__(self, stand_in: StatusStore, store: ObjectStore) -> None:
        self.stand_in = stand_in
        self.store = store
        self.events: list[Event] = []
        source = StoreSubscriptions(
            ADAPTER, SystemClock(), self.events.append, has_rollouts=True
        )
        self.subscription = source.subscriptions()[-1]
        self.writer = RolloutWriter(ADAPTER, store, self.events.append)

    async def read(self) -> RolloutOrder:
        """List the orders, and return the only one."""
        listed = await self.store.list_kind('rollouts')
        self.subscription.on_listing(listed.unwrap())
        event = self.events.pop()
        assert isinstance(event, RolloutsListed)
        return event.orders[0]

    async def write(self, revision: int, outcome: Outcome) -> None:
        """Write a state and wait until that is done."""
        self.writer.write(WriteRollout('orders', 'v2', revision, outcome))
        await asyncio.sleep(0.1)


@pytest.fixture
async def pair() -> AsyncIterator[_Pair]:
    """Return a store with one order."""
    stand_in = StatusStore()
    host, _, port = (await stand_in.start()).partition(':')
    counter = Counter(
        'calls',
        'Calls.',
        ('operation', 'outcome'),
        registry=CollectorRegistry(),
    )
    store = ObjectStore(HttpTransport(host, int(port)), counter)
    stand_in.put('rollouts', 'orders', _SPEC)
    yield _Pair(stand_in, store)
    store.close()
    stand_in.http.close()


async def test_order_and_its_state_are_read(pair: _Pair) -> None:
    """Guards against a state that is not seen by VMs that start later."""
    order = await pair.read()
    assert order == RolloutOrder('orders', 'v2', 12, order.revision)
    await pair.write(order.revision, Outcome.COMPLETED)
    event = pair.events.pop()
    assert isinstance(event, RolloutStored)
    assert event.order.outcome is Outcome.COMPLETED
    assert await pair.read() == event.order


async def test_write_with_an_old_revision_changes_nothing(pair: _Pair) -> None:
    """Guards against a writer that wakes and overwrites a final state."""
    order = await pair.read()
    await pair.write(order.revision, Outcome.REVERTED)
    await pair.write(order.revision, Outcome.COMPLETED)
    event = pair.events.pop()
    assert isinstance(event, RolloutStored)
    assert event.order.outcome is Outcome.REVERTED


async def test_store_that_is_away_causes_no_event(pair: _Pair) -> None:
    """Guards against a state that counts as written in an outage."""
    order = await pair.read()
    pair.stand_in.is_away = True
    await pair.write(order.revision, Outcome.REVERTED)
    assert not pair.events


async def test_watch_shows_a_new_state(pair: _Pair) -> None:
    """Guards against VMs that learn of the end by messages only."""
    listed = (await pair.store.list_kind('rollouts')).unwrap()
    order = await pair.read()
    await pair.write(order.revision, Outcome.REVERTED)
    pair.events.clear()
    watched = await pair.store.watch_kind(
        'rollouts', listed.revision, timedelta(0)
    )
    pair.subscription.on_changes(watched.unwrap())  # type: ignore[arg-type]
    event = pair.events.pop()
    assert isinstance(event, RolloutStored)
    assert event.order.outcome is Outcome.REVERTED


def test_orders_are_watched_only_if_the_settings_call_for_it() -> None:
    """Guards against calls to the store where there are no roll-outs."""
    source = StoreSubscriptions(ADAPTER, SystemClock(), lambda _: None)
    kinds = [one.kind for one in source.subscriptions()]
    assert ADAPTER.kinds.rollouts not in kinds


@pytest.mark.parametrize(
    'document',
    [
        None,
        {'spec': None},
        {'spec': {**_SPEC, 'service': 'other'}},
        {'spec': {**_SPEC, 'duration_s': 0}},
        {'spec': {**_SPEC, 'target_revision': ''}},
    ],
)
def test_invalid_orders_are_not_read(document: object) -> None:
    """Guards against a roll-out of something that nobody ordered."""
    assert not is_successful(read_rollout('orders', document))


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        (_STATUS, Outcome.REVERTED),
        ({**_STATUS, 'target_revision': 'v1'}, None),
        ({'state': 'odd', 'target_revision': 'v2'}, None),
        ('odd', None),
        (None, None),
    ],
)
def test_state_of_an_earlier_order_is_none(
    status: object, outcome: Outcome | None
) -> None:
    """Guards against an order that counts as done because one before it was."""
    document = {'spec': _SPEC, 'status': status, 'meta': {'rev': 4}}
    order = read_rollout('orders', document).unwrap()
    assert order.outcome is outcome
    assert order.revision == 4


@pytest.mark.parametrize(
    ('announced', 'version'), [('v1', 'v1'), (3, ''), (None, '')]
)
def test_version_of_a_target(announced: object, version: str) -> None:
    """Guards against targets that are lost because their version is odd."""
    document = {
        'service': 'orders',
        'address': '10.0.0.1:80',
        'zone': 'north',
        'slots': 3,
        'state': 'serving',
        'cold_remaining_ms': 0,
        'seq': 1,
        'config_version': announced,
    }
    assert read_target('i-1', document, 0).unwrap().version == version
