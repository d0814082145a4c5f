"""Reads the store, or relays, and serves what it reads to neighbours."""

import asyncio
from collections.abc import Callable, Collection
from contextlib import suppress
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.dispatch.events import Event, StoreRegained
from nutmegstep.following import Changes, Follower, Listing, StoreContact
from nutmegstep.following.census import VmEntry
from nutmegstep.following.core import Subscription
from nutmegstep.gateway.adapter import Adapter, Store
from nutmegstep.gateway.counting import CensusReports, VmCounter
from nutmegstep.gateway.feeds import Feeds
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.relay import (
    RelayCache,
    RelayReader,
    RelayServer,
    SwitchingReader,
)
from nutmegstep.settings import GatewaySettings
from nutmegstep.settings.declaring import read_address
from nutmegstep.web import serve_http

__all__ = ['ReadingParts', 'StoreReading']

_RELAY_TIMEOUT: Final = timedelta(milliseconds=500)
"""Longest call to a relay, which is a millisecond or two away."""
_CENSUS_TIMEOUT: Final = 1.0
"""Seconds for which the first read of the VMs is waited for."""
_FIRST_CENSUS_TIMEOUT: Final = 4.0
"""The same when all VMs start for the first time."""


@dataclass(frozen=True, slots=True)
class ReadingParts:
    """What a process shares with its reading of the store.

    Parameters
    ----------
    adapter : Adapter
        Decodes objects.
    store : Store
        The store itself.
    clock : Clock
        Dates what was read.
    random : random.Random
        Spreads the calls of the VMs.
    dispatch : Callable
        Takes events.
    on_neighbours : Callable
        Takes the addresses of the other VMs of the failure domain.
    """

    adapter: Adapter
    store: Store
    clock: Clock
    random: Random
    dispatch: Callable[[Event], None]
    on_neighbours: Callable[[Collection[str]], None]


class StoreReading:
    """Keeps a process current with the store.

    Parameters
    ----------
    parts : ReadingParts
        Parts of the process.
    settings : GatewaySettings
        Name, failure domain and address of this VM.
    """

    def __init__(self, parts: ReadingParts, settings: GatewaySettings) -> None:
        self._parts = parts
        self._contact = StoreContact(
            parts.clock,
            lambda: parts.dispatch(StoreRegained()),
        )
        self._reader = SwitchingReader(parts.store, self._connect_relay)
        self._address = settings.peers_address
        self._census_timeout = (
            _FIRST_CENSUS_TIMEOUT
            if settings.is_first_start
            else _CENSUS_TIMEOUT
        )
        host, port = settings.peers_address
        self._counter = VmCounter(
            parts.store,
            parts.clock,
            settings.vm_name,
            VmEntry(settings.failure_domain, f'{host}:{port}', revision=0),
            CensusReports(
                parts.dispatch,
                self._reader.choose,
                parts.on_neighbours,
            ),
            settings.is_first_start,
        )

    async def run(self) -> None:
        """Read and serve until cancelled."""
        parts = self._parts
        feeds = Feeds(parts.adapter, parts.clock, parts.dispatch)
        caches = {one.kind: RelayCache() for one in feeds.subscriptions()}
        relay = RelayServer(caches, self._contact.lost, self._reader.on_relay)
        await serve_http(relay.answer, *self._address)
        subscriptions = [
            _with_cache(one, caches[one.kind]) for one in feeds.subscriptions()
        ]
        await asyncio.gather(
            self._counter.run(self._contact, parts.random),
            self._follow(subscriptions),
        )

    async def _follow(self, subscriptions: list[Subscription]) -> None:
        # Knowing the relays first saves most VMs their calls to the store.
        with suppress(TimeoutError):
            await asyncio.wait_for(
                self._counter.first_read.wait(),
                self._census_timeout,
            )
        followers = [
            Follower(
                self._reader,
                self._contact,
                subscription,
                self._parts.random,
                is_prober=number == 0,
            )
            for number, subscription in enumerate(subscriptions)
        ]
        await asyncio.gather(*(follower.run() for follower in followers))

    def _connect_relay(self, address: str) -> RelayReader:
        host, port = read_address(address)
        return RelayReader(
            HttpTransport(host, port, self._parts.clock, _RELAY_TIMEOUT),
        )


def _with_cache(
    subscription: Subscription,
    cache: RelayCache,
) -> Subscription:
    def take_listing(listing: Listing) -> None:
        cache.take_listing(listing)
        subscription.on_listing(listing)

    def take_changes(found: Changes) -> None:
        cache.take_changes(found)
        subscription.on_changes(found)

    return replace(
        subscription,
        on_listing=take_listing,
        on_changes=take_changes,
    )
