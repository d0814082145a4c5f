"""Builds, runs and stops the parts of an entry process."""

import asyncio
import secrets
from dataclasses import asdict
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Final

import orjson

from nutmegstep.callers import (
    CallerHeadFilter,
    CallerInterface,
    RequestParser,
    error_response,
)
from nutmegstep.claims import ClaimCoordinator, ClaimReducerState
from nutmegstep.claims.store import PlatformJournals
from nutmegstep.clock import SystemClock
from nutmegstep.engine import EngineState, cold_targets_to_lease
from nutmegstep.engine.admitting import early_refusal
from nutmegstep.engine.effects import ReportWarm
from nutmegstep.engine.events import TargetConnectionsLost
from nutmegstep.engine.explaining import find_explanations
from nutmegstep.entry.claims import (
    build_claimer_query,
    claim_report,
    delete_expired,
)
from nutmegstep.entry.targets import send_check, silence_limit
from nutmegstep.node import ControlPlane, NodeCallbacks, NodeSettings
from nutmegstep.node.contacts import is_relay
from nutmegstep.node.platform import PlatformObjects
from nutmegstep.peers import ClaimReport, TlsFiles
from nutmegstep.platform_api import ObjectClient
from nutmegstep.runtime import Runtime
from nutmegstep.runtime import run as run_until_stopped
from nutmegstep.settings import Settings
from nutmegstep.targets import TargetPool
from nutmegstep.targets.group import DisconnectEvent
from nutmegstep.telemetry import (
    LogSpanExporter,
    Metrics,
    Telemetry,
    build_tracer,
    serve_operators,
)
from nutmegstep.verdict import Reason
from nutmegstep.web import HttpLimits, HttpServer, serve_http

__all__ = ['serve']

_COLD_TARGETS_INTERVAL_SECONDS: Final = 0.25
_UNKNOWN_SERVICE_TIMEOUT: Final = timedelta(seconds=1)
_SEED_BITS: Final = 128


class _EntryProcess:
    """Parts of one entry process and the callbacks between them.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.state = EngineState(settings.failure_domain, _system_random())
        self.pool = TargetPool(
            self.clock,
            send_check(self.state),
            silence_limit(self.state),
        )
        self.runtime = Runtime(self.state, self.clock, self.pool)
        self.client = ObjectClient(*settings.platform, self.clock)
        self.plane = ControlPlane(
            _node_settings(settings),
            PlatformObjects(self.client),
            self.clock,
            NodeCallbacks(
                self.runtime.dispatch,
                self._claim_status,
                self._explain,
                lambda: self._is_ready() and not self.head_filter.draining,
            ),
            _system_random(),
        )
        self.journals = PlatformJournals(self.client)
        self.claims = ClaimCoordinator(
            ClaimReducerState(
                self.plane.state.own.incarnation,
                _system_random(),
            ),
            self.clock,
            self.journals,
            build_claimer_query(self.plane),
            self.runtime.dispatch,
        )
        self.runtime.claims = self.claims
        self.runtime.warm_reporter = self
        metrics = Metrics(lambda: self.state.fleet.services_by_name)
        tracer = build_tracer(LogSpanExporter(), settings.sampling_ratio)
        self.telemetry = Telemetry(tracer, metrics, self.clock)
        self.runtime.observe_send = self.telemetry.observe_send
        self.head_filter = CallerHeadFilter(
            self._is_ready,
            self._check_head,
            self.telemetry.count_early_refusal,
        )
        self.pool.on_disconnect = self._on_disconnect

    def report_warm(self, effect: ReportWarm) -> None:
        """Report to the other VMs that a target is warm."""
        self.plane.report_warm(effect.target, effect.boot_id)

    async def update_cold_targets(self) -> None:
        """Pass the cold targets in use to the control plane, every 250 ms.

        The control plane requests their leases.
        """
        while True:
            now = self.clock.monotonic()
            wanted = cold_targets_to_lease(self.state, now)
            self.plane.set_cold_targets(wanted)
            await asyncio.sleep(_COLD_TARGETS_INTERVAL_SECONDS)

    async def announce_drain(self, stop: asyncio.Event) -> None:
        """Wait for the stop event, then announce to the peers that the VM leaves."""
        await stop.wait()
        self.plane.mark_leaving()

    def is_relay(self) -> bool:
        """Return whether this VM is a relay between platform and other VMs."""
        return is_relay(self.plane.state, self.clock.monotonic())

    async def open_callers_port(self) -> HttpServer:
        """Start to listen for requests of callers."""
        parser = RequestParser(self.clock.monotonic, self._declared_timeout)
        interface = CallerInterface(
            self.runtime.execute, parser, self.telemetry
        )
        return await serve_http(
            interface.handle,
            self.settings.host,
            self.settings.port,
            HttpLimits(connections=self.settings.caller_connections),
            head_filter=self.head_filter.check,
            error_response=error_response,
        )

    def _on_disconnect(self, event: DisconnectEvent) -> None:
        if isinstance(event, TargetConnectionsLost):
            self.plane.forget_warm(event.target)
        self.runtime.dispatch(event)

    async def _claim_status(self, key: bytes) -> ClaimReport:
        return claim_report(self.claims.status(key))

    def _explain(self, request_id: str) -> bytes:
        found = find_explanations(self.state, request_id)
        documents = [asdict(explanation) for explanation in found]
        return orjson.dumps(documents, default=str)

    def _is_ready(self) -> bool:
        withdrawn = self.state.failure_domain in self.state.withdrawn_domains
        return self.state.fleet.generation > 0 and not withdrawn

    def _check_head(self, service: str) -> Reason | None:
        now = self.clock.monotonic()
        refusal = early_refusal(self.state, service, now)
        return refusal.reason if refusal else None

    def _declared_timeout(self, service: str) -> timedelta:
        declared = self.state.fleet.services_by_name.get(service)
        return declared.timeout if declared else _UNKNOWN_SERVICE_TIMEOUT


async def serve(settings: Settings) -> bool:
    """Run an entry process until it is stopped.

    Parameters
    ----------
    settings : Settings
        Settings of the process.

    Returns
    -------
    bool
        Whether all requests were answered before the process stopped.
    """
    entry = _EntryProcess(settings)
    peer_address = await entry.plane.start()
    _write_address(settings.peer_port_file, peer_address)
    stop = asyncio.Event()
    tasks = [
        asyncio.create_task(entry.announce_drain(stop)),
        asyncio.create_task(entry.update_cold_targets()),
        asyncio.create_task(
            delete_expired(entry.journals, entry.clock, entry.is_relay),
        ),
    ]
    operators = await serve_operators(
        entry.telemetry.metrics,
        settings.operator_host,
        settings.operator_port,
    )
    server = await entry.open_callers_port()
    port = server.sockets[0].getsockname()[1]
    _write_address(settings.port_file, f'{settings.host}:{port}')
    answered = await run_until_stopped(
        entry.runtime,
        server,
        entry.head_filter,
        stop,
    )
    for task in tasks:
        task.cancel()
    await _stop(entry)
    operators.close()
    return answered


async def _stop(entry: _EntryProcess) -> None:
    """Stop all parts.

    The connections to targets are closed before the leases are released, since
    another VM may send to a target as soon as its lease is released.
    """
    entry.pool.close()
    await entry.plane.stop()
    await entry.claims.close()
    entry.client.close()


def _node_settings(settings: Settings) -> NodeSettings:
    files = None
    if settings.tls_certificate and settings.tls_key:
        authorities = settings.tls_authorities or settings.tls_certificate
        files = TlsFiles(
            settings.tls_certificate, settings.tls_key, authorities
        )
    return NodeSettings(
        settings.vm_name,
        settings.failure_domain,
        settings.peer_host,
        settings.peer_port,
        settings.seeds,
        files,
    )


def _system_random() -> Random:
    return Random(secrets.randbits(_SEED_BITS))


def _write_address(path: Path | None, text: str) -> None:
    if path is not None:
        # Other processes wait until the file exists and then read it at once,
        # so it must be complete when it appears.
        partial = path.with_suffix('.partial')
        partial.write_text(text)
        partial.rename(path)
