"""Watches the store, or a relay of it, and serves as a relay to neighbours.

A neighbour is another VM of the same failure domain.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.dispatch.control_events import (
    StoreRecovered,
    StoreRefreshed,
    StoreRestored,
)
from nutmegstep.dispatch.events import Event
from nutmegstep.gateway.adapter import PlatformAdapter, Store
from nutmegstep.gateway.crash_records import CrashReporter
from nutmegstep.gateway.subscriptions import StoreSubscriptions
from nutmegstep.gateway.vm_registration import VmCallbacks, VmRegistrar
from nutmegstep.relay import (
    FallbackReader,
    RelayCache,
    RelayServer,
    connect_relay,
)
from nutmegstep.settings import GatewaySettings
from nutmegstep.store_watch import (
    Listing,
    ObjectChanges,
    StoreAvailability,
    Subscription,
    Watcher,
)
from nutmegstep.store_watch.vm_registry import VmEntry
from nutmegstep.web import Handler, HttpServer

__all__ = ['StoreSync', 'StoreSyncParts']

_VM_LIST_TIMEOUT_S: Final = 1.0
"""Longest time that the watches wait for the first list of VMs."""
_FIRST_START_VM_LIST_TIMEOUT_S: Final = 4.0
"""Longest time that the watches wait for the first list of VMs when all VMs
start together for the first time."""


@dataclass(frozen=True, slots=True)
class StoreSyncParts:
    """Parts of the process that are used to watch the store.

    Parameters
    ----------
    adapter : PlatformAdapter
        Decodes objects and names their kinds.
    store : Store
        Client of the platform's store.
    clock : Clock
        Monotonic clock that gives the time of each read.
    random : random.Random
        Spreads the calls of the VMs over time.
    dispatch : Callable
        Passes an event to the dispatcher.
    on_neighbours : Callable
        Called with the ``host:port`` addresses of the neighbours.
    serve_neighbours : Callable
        Starts the server for neighbours. Takes what answers those that read the
        store through this VM.
    crash_reporter : CrashReporter
        Writes records of crashes to the store.
    on_vms : Callable
        Called with the registry entries of the other VMs.
    """

    adapter: PlatformAdapter
    store: Store
    clock: Clock
    random: Random
    dispatch: Callable[[Event], None]
    on_neighbours: Callable[[Collection[str]], None]
    serve_neighbours: Callable[[Handler], Awaitable[HttpServer]]
    crash_reporter: CrashReporter
    on_vms: Callable[[Mapping[str, VmEntry]], None]


class StoreSync:
    """Passes changes in the store to the dispatcher and to neighbours.

    Also renews the entry of this VM in the store.

    Parameters
    ----------
    parts : StoreSyncParts
        Parts of the process.
    settings : GatewaySettings
        Name, failure domain and address of this VM.
    """

    def __init__(
        self, parts: StoreSyncParts, settings: GatewaySettings
    ) -> None:
        self._parts = parts
        self._availability = StoreAvailability(
            parts.clock,
            lambda: parts.dispatch(StoreRecovered()),
            lambda: parts.dispatch(StoreRestored()),
        )
        self._watchers: list[Watcher] = []
        self._reader = FallbackReader(
            parts.store, partial(connect_relay, parts.clock)
        )
        self._has_rollouts = settings.exposure_share > 0
        self._vm_list_timeout_s = (
            _FIRST_START_VM_LIST_TIMEOUT_S
            if settings.is_first_start
            else _VM_LIST_TIMEOUT_S
        )
        host, port = settings.peers_address
        self._registrar = VmRegistrar(
            parts.store,
            parts.clock,
            settings.vm_name,
            VmEntry(
                settings.failure_domain,
                f'{host}:{port}',
                revision=0,
                capacity=settings.capacity,
            ),
            VmCallbacks(
                parts.dispatch,
                self._reader.use_relays,
                parts.on_neighbours,
                parts.on_vms,
            ),
            settings.is_first_start,
        )

    async def run(self) -> None:
        """Watch the store and serve as a relay until cancelled."""
        parts = self._parts
        source = StoreSubscriptions(
            parts.adapter,
            parts.clock,
            parts.dispatch,
            has_rollouts=self._has_rollouts,
        )
        caches = {one.kind: RelayCache() for one in source.subscriptions()}
        relay = RelayServer(
            caches, self._availability.unavailable, self._reader.uses_relay
        )
        server = await parts.serve_neighbours(relay.answer)
        server.id_header = parts.adapter.id_header
        subscriptions = [
            _with_relay_cache(one, caches[one.kind])
            for one in source.subscriptions()
        ]
        await asyncio.gather(
            self._registrar.run(self._availability, parts.random),
            self._watch_store(subscriptions),
            parts.crash_reporter.run(
                parts.store, parts.adapter.kinds.crashes, self._availability
            ),
        )

    async def refresh(self) -> None:
        """Read again what has changed, after the process was paused."""
        await asyncio.gather(*(one.refresh() for one in self._watchers))
        self._parts.dispatch(StoreRefreshed())

    async def _watch_store(self, subscriptions: list[Subscription]) -> None:
        # The list of VMs tells which relays to read from. Waiting for it saves
        # most VMs their calls to the store.
        with suppress(TimeoutError):
            await asyncio.wait_for(
                self._registrar.first_read.wait(),
                self._vm_list_timeout_s,
            )
        self._watchers = [
            Watcher(
                self._reader,
                self._availability,
                subscription,
                self._parts.random,
                is_prober=number == 0,
            )
            for number, subscription in enumerate(subscriptions)
        ]
        await asyncio.gather(*(watcher.run() for watcher in self._watchers))


def _with_relay_cache(
    subscription: Subscription,
    cache: RelayCache,
) -> Subscription:
    def handle_listing(listing: Listing) -> None:
        cache.replace_all(listing)
        subscription.on_listing(listing)

    def handle_changes(found: ObjectChanges) -> None:
        cache.apply_changes(found)
        subscription.on_changes(found)

    return replace(
        subscription,
        on_listing=handle_listing,
        on_changes=handle_changes,
    )
