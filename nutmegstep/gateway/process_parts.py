"""Parts of a gateway process."""

import asyncio
import logging
import secrets
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from random import Random
from types import MappingProxyType
from typing import Final

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch import DispatchState
from nutmegstep.dispatch.control_events import HousekeepingDue
from nutmegstep.dispatch.effects import SendMessage, WriteRollout
from nutmegstep.gateway import account_messages
from nutmegstep.gateway.adapter import PlatformAdapter
from nutmegstep.gateway.core import Gateway
from nutmegstep.gateway.metrics import GatewayMetrics
from nutmegstep.gateway.neighbours import neighbour_limits, serve_neighbours
from nutmegstep.gateway.peer_limits import (
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    PeerAccount,
    share_out,
)
from nutmegstep.gateway.process_settings import (
    build_tracing,
    dispatch_limits,
    limit_tolerance,
    names_waiting,
)
from nutmegstep.gateway.rollout_store import (
    RolloutWriter,
    read_directive,
    read_report,
)
from nutmegstep.gateway.store_sync import StoreSync, StoreSyncParts
from nutmegstep.gateway.suspect_reports import SuspectReportExchange
from nutmegstep.gateway.vm_messages import ReadMessage, VmMessages
from nutmegstep.rollouts.messages import KIND_DIRECTIVE, KIND_REPORT
from nutmegstep.settings import GatewaySettings, SettingsError
from nutmegstep.web import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    serve_http,
)
from nutmegstep.web.exposition import expose_metrics

__all__ = ['GatewayProcess', 'ReadSettings']

ReadSettings = Callable[[], GatewaySettings]
"""Returns the current settings; raises `SettingsError` if they are invalid."""

_LOG: Final = logging.getLogger(__name__)
_SEED_BITS: Final = 128
_HOUSEKEEPING_INTERVAL_S: Final = 0.5
_RELOAD_INTERVAL_S: Final = 2.0
"""Time between two reads of the settings when no SIGHUP arrives."""
_OPERATOR_LIMITS: Final = HttpLimits(connections=16, sockets=32)
"""Limits of the ports for the load balancer's probes and for metrics."""
_READ_BY_KIND: Final[Mapping[str, ReadMessage]] = MappingProxyType(
    {
        KIND_REPORT: read_report,
        KIND_DIRECTIVE: read_directive,
        **account_messages.READ_BY_KIND,
    }
)
"""Decoders of the messages between VMs, by kind."""


class GatewayProcess:
    """Parts of one gateway process."""

    def __init__(
        self, adapter: PlatformAdapter, settings: GatewaySettings
    ) -> None:
        self.adapter = adapter
        self.settings = settings
        self.clock = SystemClock()
        self.random = Random(secrets.randbits(_SEED_BITS))
        self.metrics = GatewayMetrics()
        self.state = DispatchState(
            settings.failure_domain,
            dispatch_limits(settings),
            self.random,
            self.clock.monotonic(),
            settings.vm_name,
        )
        self.state.account_limits.is_first_start = settings.is_first_start
        self.state.account_limits.tolerance = limit_tolerance(settings)
        self.gateway = Gateway(
            self.state,
            self.clock,
            adapter.codec,
            self.metrics,
            build_tracing(settings),
        )
        self.report_exchange = SuspectReportExchange(
            self.gateway.dispatch,
            self.random,
            self.metrics.suspect_reports,
        )
        self.gateway.on_suspect = self.report_exchange.report
        self.vm_messages = VmMessages(
            self.gateway.dispatch,
            self.report_exchange.send,
            self.metrics.vm_messages,
            _READ_BY_KIND,
        )
        self.report_exchange.on_message = self.vm_messages.receive
        self.gateway.carry_out_with(SendMessage, self.vm_messages.send)
        self.store = adapter.open_store(
            settings.store_address,
            self.clock,
            self.metrics.store_calls,
        )
        self.rollout_writer = RolloutWriter(
            adapter, self.store, self.gateway.dispatch
        )
        self.gateway.carry_out_with(WriteRollout, self.rollout_writer.write)
        self.is_draining = False
        self.caller_server: HttpServer | None = None
        self.peer_limits = share_out(
            settings.memory_mb, settings.max_descriptors
        )
        self.account = PeerAccount(
            self.peer_limits.memory_bytes, self.clock, self.metrics.registry
        )

    async def serve_callers(self) -> HttpServer:
        """Start the server for callers."""
        server = await serve_http(
            self.gateway.handle,
            *self.settings.callers_address,
            self.limits(),
            shared=self.account.shared_parts('callers'),
        )
        server.id_header = self.adapter.id_header
        self.caller_server = server
        return server

    async def serve_operators(self) -> HttpServer:
        """Start the servers for readiness, which is returned, and metrics."""
        serve = partial(
            serve_http,
            limits=_OPERATOR_LIMITS,
            shared=self.account.shared_parts('operators'),
        )
        if self.settings.metrics_port:
            host = self.settings.callers_address[0]
            await serve(self.answer_metrics, host, self.settings.metrics_port)
        return await serve(self.answer_ready, *self.settings.ready_address)

    def build_store_sync(self) -> StoreSync:
        """Return the part that watches the store; it refreshes after pauses."""
        parts = StoreSyncParts(
            self.adapter,
            self.store,
            self.clock,
            self.random,
            self.gateway.dispatch,
            self.report_exchange.replace_neighbours,
            partial(
                serve_neighbours,
                self.settings.peers_address,
                self.answer_delegated,
                limits=neighbour_limits(self.peer_limits),
                shared=self.account.shared_parts('neighbours'),
            ),
            self.gateway.crash_reporter,
            self.vm_messages.replace_vms,
        )
        store_sync = StoreSync(parts, self.settings)
        self.refresh_after_pauses(store_sync)
        return store_sync

    async def answer_ready(self, request: HttpRequest) -> HttpResponse:
        """Answer the load balancer's readiness probe."""
        if request.path != self.adapter.ready_path:
            return HttpResponse(404, b'{}')
        is_ready = self.state.is_ready and not self.is_draining
        return HttpResponse(200 if is_ready else 503, b'{}')

    async def answer_delegated(self, request: HttpRequest) -> HttpResponse:
        """Answer a query that a neighbour delegated to this VM.

        A VM that stops serves its own callers until their port is closed. What
        others pass to it may come from one that reaches no target, so it is
        served for as long.
        """
        server = self.caller_server
        is_closed = server is not None and not server.sockets
        return await self.gateway.handle_delegated(
            request, is_stopping=self.is_draining and is_closed
        )

    async def answer_metrics(self, request: HttpRequest) -> HttpResponse:
        """Answer a scrape of the metrics."""
        if request.path != '/metrics':
            return HttpResponse(404, b'{}')
        self.metrics.omitted_log_lines.set(self.gateway.decisions.omitted)
        return expose_metrics(self.metrics.registry)

    def limits(self) -> HttpLimits:
        """Return the limits on callers in the configuration in force."""
        http_limits = HttpLimits(
            connections=self.peer_limits.callers,
            sockets=self.peer_limits.caller_sockets,
            receive_buffer=RECEIVE_BUFFER_BYTES,
            send_buffer=SEND_BUFFER_BYTES,
            cancels_half_closed=True,
        )
        if self.state.configuration is None:
            return http_limits
        declared = self.state.configuration.limits
        return replace(
            http_limits,
            head_bytes=declared.head_bytes,
            body_bytes=declared.body_bytes,
            head_seconds=declared.head_timeout.total_seconds(),
            keep_alive_seconds=declared.idle_timeout.total_seconds(),
        )

    async def run_housekeeping(self, server: HttpServer) -> None:
        """Periodically remove expired targets and apply limits on callers.

        The periodic event also shows whether the process was paused.
        """
        while True:
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_S)
            server.limits = self.limits()
            self.gateway.dispatch(HousekeepingDue())

    def refresh_after_pauses(self, store_sync: StoreSync) -> None:
        """Read the store again whenever the process was paused."""
        refreshes: set[asyncio.Task[None]] = set()

        def refresh() -> None:
            task = asyncio.create_task(store_sync.refresh())
            refreshes.add(task)
            task.add_done_callback(refreshes.discard)

        self.gateway.on_resumed = refresh

    async def reload(
        self, read: ReadSettings, reload_requested: asyncio.Event
    ) -> None:
        """Reload the settings after SIGHUP, or periodically without it."""
        while True:
            try:
                await asyncio.wait_for(
                    reload_requested.wait(), _RELOAD_INTERVAL_S
                )
            except TimeoutError:
                # The settings file may change without a signal.
                reload_requested.clear()
            reload_requested.clear()
            self._reload_settings(read)

    def _reload_settings(self, read: ReadSettings) -> None:
        try:
            settings = read()
        except SettingsError as error:
            _LOG.error('settings kept', extra={'detail': str(error)})
            return
        if settings == self.settings:
            return
        waiting = names_waiting(self.settings, settings)
        self.settings = settings
        # The watch of orders is started with the process.
        limits = replace(
            dispatch_limits(settings), exposure=self.state.limits.exposure
        )
        self.state.replace_limits(limits)
        self.state.account_limits.tolerance = limit_tolerance(settings)
        _LOG.info('settings reloaded', extra={'after_restart': waiting})
