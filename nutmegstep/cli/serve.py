"""The `serve` command: runs an entry process."""

import argparse
import asyncio
import logging
import os
import sys
from datetime import timedelta
from random import Random
from typing import Final

from nutmegstep.callers import (
    CallerGate,
    CallerInterface,
    RequestParser,
    unreadable_response,
)
from nutmegstep.clock import Clock, SystemClock
from nutmegstep.declarations import decode_catalogue, decode_fleet
from nutmegstep.engine import EngineState
from nutmegstep.engine.events import CatalogueChanged, FleetChanged
from nutmegstep.platform_api import PlatformClient
from nutmegstep.runtime import (
    Runtime,
    build_send_check,
    run as run_until_stopped,
)
from nutmegstep.settings import (
    Settings,
    SettingsError,
    add_arguments,
    load_settings,
)
from nutmegstep.targets import TargetPool
from nutmegstep.telemetry import (
    LogSpanExporter,
    Metrics,
    Telemetry,
    build_tracer,
    configure_logs,
    serve_operators,
)
from nutmegstep.verdict import Reason
from nutmegstep.web import HttpLimits, HttpServer, serve_http

__all__ = ['add_parser']

_LOG: Final = logging.getLogger(__name__)
_EXIT_CUT: Final = 1
_EXIT_USAGE: Final = 2
_UNDECLARED_TIMEOUT: Final = timedelta(seconds=1)


def add_parser(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the command to the parser."""
    serve = commands.add_parser('serve', help='run an entry process')
    add_arguments(serve)
    serve.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run until the process is stopped; return the exit code."""
    try:
        settings = load_settings(arguments, os.environ)
    except SettingsError as error:
        print(f'nutmegstep serve: {error}', file=sys.stderr)
        return _EXIT_USAGE
    configure_logs(settings.log_level)
    answered_all = asyncio.run(_serve(settings))
    return 0 if answered_all else _EXIT_CUT


async def _load(runtime: Runtime, settings: Settings) -> None:
    platform = PlatformClient(*settings.platform)
    fleet = decode_fleet((await platform.get('config/fleet')).document)
    runtime.dispatch(FleetChanged(fleet))
    indexes = {service.index for service in fleet.services_by_name.values()}
    for index in indexes:
        stored = await platform.get(f'indexes/{index}')
        versions = decode_catalogue(stored.document)
        runtime.dispatch(CatalogueChanged(index, versions))


async def _load_if_reachable(runtime: Runtime, settings: Settings) -> None:
    # Without the platform the process starts and refuses everything; /ready
    # fails until a configuration arrives.
    try:
        await _load(runtime, settings)
    except OSError as error:
        _LOG.error('the platform cannot be reached: %s', error)


def _head_refusal(state: EngineState) -> Reason | None:
    return None if state.fleet.generation else Reason.NO_CONFIGURATION


async def _serve(settings: Settings) -> bool:
    clock = SystemClock()
    state = EngineState(settings.failure_domain, Random())
    pool = TargetPool(clock, build_send_check(state))
    runtime = Runtime(state, clock, pool)
    await _load_if_reachable(runtime, settings)
    telemetry = _build_telemetry(settings, runtime, clock)
    runtime.observe_send = telemetry.observe_send
    gate = CallerGate(
        lambda: state.fleet.generation > 0,
        lambda service: _head_refusal(state),
        telemetry.count_early_refusal,
    )
    operators = await serve_operators(
        telemetry.metrics,
        settings.operator_host,
        settings.operator_port,
    )
    server = await serve_http(
        _build_interface(runtime, telemetry, clock).handle,
        settings.host,
        settings.port,
        HttpLimits(connections=settings.caller_connections),
        early_check=gate.check,
        error_response=unreadable_response,
    )
    _write_port(settings, server)
    answered = await run_until_stopped(runtime, server, gate, asyncio.Event())
    operators.close()
    pool.close()
    return answered


def _build_telemetry(
    settings: Settings,
    runtime: Runtime,
    clock: Clock,
) -> Telemetry:
    metrics = Metrics(lambda: runtime.state.fleet.services_by_name)
    tracer = build_tracer(LogSpanExporter(), settings.sampling_ratio)
    return Telemetry(tracer, metrics, clock)


def _build_interface(
    runtime: Runtime,
    telemetry: Telemetry,
    clock: Clock,
) -> CallerInterface:
    def declared_timeout(service: str) -> timedelta:
        declared = runtime.state.fleet.services_by_name.get(service)
        return declared.timeout if declared else _UNDECLARED_TIMEOUT

    parser = RequestParser(clock.monotonic, declared_timeout)
    return CallerInterface(runtime.ask, parser, telemetry)


def _write_port(settings: Settings, server: HttpServer) -> None:
    if settings.port_file is not None:
        chosen = server.sockets[0].getsockname()[1]
        settings.port_file.write_text(f'{settings.host}:{chosen}')
