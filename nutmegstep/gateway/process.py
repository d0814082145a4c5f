"""Builds the parts of a gateway process, runs and stops them in order."""

import asyncio
import logging
import secrets
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Final

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch import ColdTerms, DispatchState, DispatchTerms
from nutmegstep.dispatch.budget import BudgetTerms
from nutmegstep.dispatch.events import HousekeepingDue, StoreRegained
from nutmegstep.following import Changes, Follower, Listing, StoreContact
from nutmegstep.following.census import VmEntry
from nutmegstep.following.core import Subscription
from nutmegstep.gateway.adapter import Adapter
from nutmegstep.gateway.core import Gateway
from nutmegstep.gateway.counting import CensusReports, VmCounter
from nutmegstep.gateway.feeds import Feeds
from nutmegstep.gateway.lifecycle import drain
from nutmegstep.gateway.metrics import GatewayMetrics
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.relay import (
    RelayCache,
    RelayReader,
    RelayServer,
    SwitchingReader,
)
from nutmegstep.settings import GatewaySettings, SettingsError
from nutmegstep.web import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    serve_http,
)

if TYPE_CHECKING:
    from nutmegstep.gateway.tracing import Tracing

__all__ = ['ReadSettings', 'serve']

ReadSettings = Callable[[], GatewaySettings]
"""Reads the settings again; raises SettingsError."""

_LOG: Final = logging.getLogger(__name__)
_SEED_BITS: Final = 128
_HOUSEKEEPING_SECONDS: Final = 0.5
_RELOAD_SECONDS: Final = 2.0
"""Settings may change without a signal, and are read again so often."""
_RELAY_TIMEOUT: Final = timedelta(milliseconds=500)
"""Longest call to a relay, which is a millisecond or two away."""
_CENSUS_TIMEOUT: Final = 1.0
"""Seconds for which the first read of the VMs is waited for."""
_CONNECTIONS: Final = 2000
"""Most connections of callers; half of the descriptors of a small VM."""


class _Process:
    """Parts of one process."""

    def __init__(self, adapter: Adapter, settings: GatewaySettings) -> None:
        self.adapter = adapter
        self.settings = settings
        self.clock = SystemClock()
        self.random = Random(secrets.randbits(_SEED_BITS))
        self.metrics = GatewayMetrics()
        self.state = DispatchState(
            settings.failure_domain,
            _terms_of(settings),
            self.random,
            self.clock.monotonic(),
        )
        self.gateway = Gateway(
            self.state,
            self.clock,
            adapter.codec,
            self.metrics,
            _tracing_of(settings),
        )
        self.contact = StoreContact(
            self.clock,
            lambda: self.gateway.dispatch(StoreRegained()),
        )
        self.store = adapter.open_store(
            settings.store_address,
            self.clock,
            self.metrics.store_calls,
        )
        self.reader = SwitchingReader(self.store, self._connect_relay)
        self.is_draining = False

    async def answer_ready(self, request: HttpRequest) -> HttpResponse:
        """Tell the balancer whether this VM takes callers."""
        if request.path != self.adapter.ready_path:
            return HttpResponse(404, b'{}')
        is_ready = self.state.is_ready and not self.is_draining
        return HttpResponse(200 if is_ready else 503, b'{}')

    async def answer_metrics(self, request: HttpRequest) -> HttpResponse:
        """Export the metrics."""
        if request.path != '/metrics':
            return HttpResponse(404, b'{}')
        self.metrics.omitted_lines.set(self.gateway.decisions.omitted)
        text = generate_latest(self.metrics.registry)
        return HttpResponse(200, text, content_type=CONTENT_TYPE_LATEST)

    def limits(self) -> HttpLimits:
        """Return the bounds on callers of the configuration in force."""
        bounds = HttpLimits(
            connections=_CONNECTIONS,
            cancels_half_closed=True,
        )
        if self.state.configuration is None:
            return bounds
        declared = self.state.configuration.limits
        return replace(
            bounds,
            head_bytes=declared.head_bytes,
            body_bytes=declared.body_bytes,
            head_seconds=declared.head_timeout.total_seconds(),
            keep_alive_seconds=declared.idle_timeout.total_seconds(),
        )

    async def keep_house(self, server: HttpServer) -> None:
        """Drop lapsed targets and apply the limits in force."""
        while True:
            await asyncio.sleep(_HOUSEKEEPING_SECONDS)
            server.limits = self.limits()
            if self.state.roster.next_expiry() is not None:
                self.gateway.dispatch(HousekeepingDue())

    async def reload(self, read: ReadSettings, hup: asyncio.Event) -> None:
        """Take changed settings, after a signal or unasked."""
        while True:
            try:
                await asyncio.wait_for(hup.wait(), _RELOAD_SECONDS)
            except TimeoutError:
                # Nobody sent a signal; the file may have changed all the same.
                hup.clear()
            hup.clear()
            self._take_settings(read)

    def _connect_relay(self, address: str) -> RelayReader:
        host, _, port = address.rpartition(':')
        return RelayReader(
            HttpTransport(host, int(port), self.clock, _RELAY_TIMEOUT),
        )

    def _take_settings(self, read: ReadSettings) -> None:
        try:
            settings = read()
        except SettingsError as error:
            _LOG.error('settings kept', extra={'detail': str(error)})
            return
        if settings == self.settings:
            return
        self.settings = settings
        self.state.terms = _terms_of(settings)
        _LOG.info('settings reloaded')


async def serve(adapter: Adapter, read: ReadSettings) -> bool:
    """Run a gateway until SIGTERM or SIGINT.

    Parameters
    ----------
    adapter : Adapter
        Translation for the platform.
    read : ReadSettings
        Reads the settings, at the start and later again.

    Returns
    -------
    bool
        Whether every request was answered at the stop.
    """
    process = _Process(adapter, read())
    settings = process.settings
    stop, hup = _listen_to_signals()
    callers = await serve_http(
        process.gateway.handle,
        *settings.callers_address,
        process.limits(),
    )
    ready = await serve_http(process.answer_ready, *settings.ready_address)
    if settings.metrics_port:
        await serve_http(
            process.answer_metrics,
            settings.callers_address[0],
            settings.metrics_port,
        )
    tasks = await _start_tasks(process, callers, read, hup)
    fields = {'vm': settings.vm_name, 'domain': settings.failure_domain}
    _LOG.info('started', extra=fields)
    await stop.wait()
    _LOG.info('stop requested')
    process.is_draining = True
    answered = await drain(
        callers,
        lambda: process.gateway.open_requests,
        settings.grace,
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    process.gateway.pool.close()
    process.store.close()
    ready.close()
    return answered


async def _start_tasks(
    process: _Process,
    callers: HttpServer,
    read: ReadSettings,
    hup: asyncio.Event,
) -> list[asyncio.Task[None]]:
    settings = process.settings
    feeds = Feeds(process.adapter, process.clock, process.gateway.dispatch)
    caches = {one.kind: RelayCache() for one in feeds.subscriptions()}
    subscriptions = [
        _with_cache(one, caches[one.kind]) for one in feeds.subscriptions()
    ]
    relay = RelayServer(caches, process.contact.lost, process.reader.on_relay)
    await serve_http(relay.answer, *settings.peers_address)
    counter = VmCounter(
        process.store,
        process.clock,
        settings.vm_name,
        VmEntry(
            settings.failure_domain,
            '{0}:{1}'.format(*settings.peers_address),
            revision=0,
        ),
        CensusReports(process.gateway.dispatch, process.reader.choose),
    )
    counting = counter.run(process.contact, process.random)
    coroutines = (
        counting,
        _follow(process, subscriptions, counter.first_read),
        process.keep_house(callers),
        process.reload(read, hup),
    )
    return [asyncio.create_task(one) for one in coroutines]


async def _follow(
    process: _Process,
    subscriptions: list[Subscription],
    first_read: asyncio.Event,
) -> None:
    # Knowing the relays first saves most VMs their calls to the store.
    with suppress(TimeoutError):
        await asyncio.wait_for(first_read.wait(), _CENSUS_TIMEOUT)
    followers = [
        Follower(
            process.reader,
            process.contact,
            subscription,
            process.random,
            is_prober=number == 0,
        ).run()
        for number, subscription in enumerate(subscriptions)
    ]
    await asyncio.gather(*followers)


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


def _listen_to_signals() -> tuple[asyncio.Event, asyncio.Event]:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    hup = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, hup.set)
    return stop, hup


def _tracing_of(settings: GatewaySettings) -> 'Tracing | None':
    if not settings.trace_ratio:
        return None
    # A process without traces starts faster and smaller.
    from nutmegstep.gateway.tracing import Tracing
    from nutmegstep.telemetry.spans import LogSpanExporter, build_tracer

    return Tracing(build_tracer(LogSpanExporter(), settings.trace_ratio))


def _terms_of(settings: GatewaySettings) -> DispatchTerms:
    return DispatchTerms(
        BudgetTerms(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window,
        ),
        ColdTerms(settings.cold_overshoot, settings.cold_slack),
    )
