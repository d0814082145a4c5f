"""The `serve` command: runs an entry process."""

import argparse
import asyncio
from pathlib import Path
from random import Random

from nutmegstep.callers import CallerInterface
from nutmegstep.clock import SystemClock
from nutmegstep.declarations import decode_catalogue, decode_fleet
from nutmegstep.engine import EngineState
from nutmegstep.engine.events import CatalogueChanged, FleetChanged
from nutmegstep.platform_api import PlatformClient
from nutmegstep.runtime import Runtime
from nutmegstep.targets import TargetPool
from nutmegstep.web import serve_http

__all__ = ['add_parser']


def add_parser(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the command to the parser."""
    serve = commands.add_parser('serve', help='run an entry process')
    serve.add_argument('--host', default='127.0.0.1')
    serve.add_argument('--platform', required=True)
    serve.add_argument('--failure-domain', required=True)
    serve.add_argument('--port-file', type=Path, required=True)
    serve.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run until the process is stopped; return the exit code."""
    asyncio.run(_serve(arguments))
    return 0


async def _load(runtime: Runtime, address: str) -> None:
    host, port = address.rsplit(':', 1)
    platform = PlatformClient(host, int(port))
    fleet = decode_fleet((await platform.get('config/fleet')).document)
    runtime.dispatch(FleetChanged(fleet))
    indexes = {service.index for service in fleet.services_by_name.values()}
    for index in indexes:
        stored = await platform.get(f'indexes/{index}')
        versions = decode_catalogue(stored.document)
        runtime.dispatch(CatalogueChanged(index, versions))


async def _serve(arguments: argparse.Namespace) -> None:
    clock = SystemClock()
    state = EngineState(arguments.failure_domain, Random())
    runtime = Runtime(state, clock, TargetPool(clock))
    await _load(runtime, arguments.platform)
    interface = CallerInterface(runtime, clock)
    server = await serve_http(interface.handle, arguments.host, 0)
    chosen = server.sockets[0].getsockname()[1]
    arguments.port_file.write_text(f'{arguments.host}:{chosen}')
    await asyncio.Event().wait()
