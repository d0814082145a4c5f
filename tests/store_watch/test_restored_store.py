"""Watchers of a store that comes back from a copy some seconds old."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta
from random import Random

import pytest
from prometheus_client import CollectorRegistry, Counter

from nutmegstep.clock import SystemClock
from nutmegstep.platform.store import ObjectStore
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.relay import (
    FallbackReader,
    RelayCache,
    RelayChoice,
    RelayReader,
    RelayServer,
    connect_relay,
)
from nutmegstep.store_watch import (
    StoreAvailability,
    StoreReader,
    Subscription,
    Watcher,
)
from nutmegstep.web import serve_http
from tests.platform.standin import StoreStandIn

_KINDS = ('config', 'servers', 'evacuations')
_IN_FORCE_SECONDS = 3.0
"""Time after which an acknowledged change must be known to each VM."""


class _Vm:
    """Watchers of all kinds, with the objects that they have read."""

    def __init__(self, reader: StoreReader, seed: int) -> None:
        self.restorations = 0
        self.availability = StoreAvailability(
            SystemClock(), lambda: None, self._count_restoration
        )
        self.caches = {kind: RelayCache() for kind in _KINDS}
        self._watchers = [
            Watcher(
                reader,
                self.availability,
                _subscription(kind, self.caches[kind]),
                Random(seed),
                is_prober=kind == _KINDS[0],
            )
            for kind in _KINDS
        ]

    async def run(self) -> None:
        """Watch until cancelled."""
        await asyncio.gather(*(one.run() for one in self._watchers))

    def documents(self) -> dict[str, object]:
        """Return all objects by their kind and name."""
        listings = ((kind, one.listing()) for kind, one in self.caches.items())
        return {
            f'{kind}/{name}': document
            for kind, listing in listings
            if listing is not None
            for name, document in listing.documents_by_name.items()
        }

    def _count_restoration(self) -> None:
        self.restorations += 1


def _subscription(kind: str, cache: RelayCache) -> Subscription:
    return Subscription(
        kind,
        timedelta(seconds=2 if kind == _KINDS[0] else 20),
        timedelta(milliseconds=10),
        timedelta(seconds=1),
        cache.replace_all,
        cache.apply_changes,
    )


def _open_store(stand_in_address: str) -> ObjectStore:
    host, _, port = stand_in_address.partition(':')
    counter = Counter(
        'calls', 'Calls.', ('a', 'b'), registry=CollectorRegistry()
    )
    return ObjectStore(HttpTransport(host, int(port)), counter)


class _Fleet:
    """A store, a VM that reads it, and one that reads from the first."""

    def __init__(self, seed: int) -> None:
        self.store = StoreStandIn()
        self.random = Random(seed)
        self.vms: list[_Vm] = []

    def write(self, count: int) -> None:
        """Write or delete random objects."""
        for _ in range(count):
            kind = self.random.choice(_KINDS)
            name = f'o{self.random.randrange(6)}'
            if self.random.random() < 0.3:
                self.store.delete(kind, name)
            else:
                self.store.put(kind, name, self.random.randrange(1000))

    async def wait_in_force(self) -> None:
        """Wait until all VMs know what the store holds."""
        async with asyncio.timeout(_IN_FORCE_SECONDS):
            while any(one.documents() != self._stored() for one in self.vms):
                await asyncio.sleep(0.02)

    def _stored(self) -> dict[str, object]:
        return {
            f'{kind}/{name}': self.store.spec_of(kind, name)
            for kind in _KINDS
            for name in self.store.names(kind)
        }


@asynccontextmanager
async def _run_fleet(seed: int) -> AsyncIterator[_Fleet]:
    fleet = _Fleet(seed)
    async with AsyncExitStack() as stack:
        address = await fleet.store.start()
        stack.callback(fleet.store.http.close)
        reader = FallbackReader(_open_store(address), _connect)
        first = _Vm(reader, seed)
        relay = RelayServer(
            first.caches, first.availability.unavailable, reader.uses_relay
        )
        server = await serve_http(relay.answer, '127.0.0.1', 0)
        stack.callback(server.close)
        relay_address = '127.0.0.1:{0}'.format(
            server.sockets[0].getsockname()[1]
        )
        relayed = FallbackReader(_open_store(address), _connect)
        relayed.use_relays(RelayChoice((relay_address,)))
        fleet.vms = [first, _Vm(relayed, seed + 1)]
        for one in fleet.vms:
            task = asyncio.create_task(one.run())
            stack.callback(task.cancel)
        yield fleet


def _connect(address: str) -> RelayReader:
    return connect_relay(SystemClock(), address)


@pytest.mark.parametrize('lost', [0, 3, 30])
@pytest.mark.parametrize('written_again', [1, 4, 60])
@pytest.mark.parametrize('seed', [1, 2])
async def test_objects_of_a_restored_store_are_in_force(
    lost: int, written_again: int, seed: int
) -> None:
    """Guards against a VM that keeps the objects from before the store was
    restored, or lacks some of those written since: the store gives out the
    revisions that the VM has seen again.
    """
    async with _run_fleet(seed) as fleet:
        fleet.write(20)
        await fleet.wait_in_force()
        copied = fleet.store.copy()
        fleet.write(lost)
        await fleet.wait_in_force()
        fleet.store.go_away()
        await asyncio.sleep(0.2)
        fleet.store.restore(copied)
        # With more writes than were lost, a watch from a known revision finds
        # one that was given out again, and the first of them lies before it.
        fleet.store.put('evacuations', 'first', 1)
        fleet.write(written_again)
        fleet.store.is_away = False
        await fleet.wait_in_force()
        fleet.write(5)
        await fleet.wait_in_force()
        assert [one.restorations for one in fleet.vms] == [1, 1]


async def test_each_restoration_is_noticed() -> None:
    """Guards against a VM that knows one restoration only."""
    async with _run_fleet(1) as fleet:
        fleet.write(20)
        for _ in range(3):
            await fleet.wait_in_force()
            copied = fleet.store.copy()
            fleet.write(5)
            await fleet.wait_in_force()
            fleet.store.restore(copied)
            fleet.write(5)
        await fleet.wait_in_force()
        assert [one.restorations for one in fleet.vms] == [3, 3]
