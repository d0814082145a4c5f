"""Builds the parts of an entry process, runs them and stops them in order."""

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
from nutmegstep.entry.claims import ask_claimer, delete_expired, report_of
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

_COLD_TARGETS_SECONDS: Final = 0.25
_UNDECLARED_TIMEOUT: Final = timedelta(seconds=1)
_SEED_BITS: Final = 128


class _Entry:
    """Parts of one entry process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
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
            ask_claimer(self.plane),
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
        """Tell peers that a target is warm."""
        self.plane.report_warm(effect.target, effect.boot_id)

    async def follow_cold_targets(self) -> None:
        """Keep asking for promises of the cold targets in use."""
        while True:
            now = self.clock.monotonic()
            wanted = cold_targets_to_lease(self.state, now)
            self.plane.set_cold_targets(wanted)
            await asyncio.sleep(_COLD_TARGETS_SECONDS)

    async def leave_at(self, stop: asyncio.Event) -> None:
        """Announce the drain to the peers as soon as it starts."""
        await stop.wait()
        self.plane.mark_leaving()

    def is_relay(self) -> bool:
        """Return whether this VM keeps contact with the platform."""
        return is_relay(self.plane.state, self.clock.monotonic())

    async def open_callers_port(self) -> HttpServer:
        """Listen for callers."""
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
        return report_of(self.claims.status(key))

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
        return declared.timeout if declared else _UNDECLARED_TIMEOUT


async def serve(settings: Settings) -> bool:
    """Run an entry process until it is asked to stop.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Returns
    -------
    bool
        Whether every request was answered at the stop.
    """
    entry = _Entry(settings)
    peer_address = await entry.plane.start()
    _write(settings.peer_port_file, peer_address)
    stop = asyncio.Event()
    tasks = [
        asyncio.create_task(entry.leave_at(stop)),
        asyncio.create_task(entry.follow_cold_targets()),
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
    _write(settings.port_file, f'{settings.host}:{port}')
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


async def _stop(entry: _Entry) -> None:
    """Close connections to targets before the promises are withdrawn."""
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


def _write(path: Path | None, text: str) -> None:
    if path is not None:
        # Readers wait for the file, so it appears with its content.
        partial = path.with_suffix('.partial')
        partial.write_text(text)
        partial.rename(path)
