"""Gateway processes with stand-ins for the store and the targets."""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import count, islice
from pathlib import Path

from tests.platform.standin import StoreStandIn, TargetStandIn, respond

HOST = 'shop.example'
SHARDS = ('shard-0', 'shard-1', 'shard-2')
DOMAINS = ('north', 'south', 'west')
_FIRST_PORT = 10_000
_PORT_RANGE = 20_000
_PORTS_OF_A_RUN = 199
_PORTS = (
    _FIRST_PORT + (os.getpid() * _PORTS_OF_A_RUN + number) % _PORT_RANGE
    for number in count()
)


def configuration(version: int = 1, **routes: object) -> dict[str, object]:
    """Return a configuration document as operators write it."""
    base = {
        'host': HOST,
        'route_kind': 'idempotent',
        'timeout_ms': 1500,
        'target_latency_ms': 150,
        'priority': 1,
        'attempts': 2,
    }
    sweep = {
        **base,
        'name': 'sweep',
        'path_prefix': '/sweep/',
        'gather': list(SHARDS),
        'top_k': 5,
        'min_coverage': 0.6,
    }
    fetch = {
        **base,
        'name': 'fetch',
        'path_prefix': '/fetch/',
        'service': 'orders',
        'target_latency_ms': 500,
    }
    order = {
        **fetch,
        'name': 'order',
        'path_prefix': '/order/',
        'route_kind': 'non_idempotent',
    }
    names = (*SHARDS, 'orders')
    return {
        'config_version': version,
        'routes': [sweep, fetch, order, *routes.values()],
        'services': [
            {'name': name, 'max_connections': 64, 'cold_s': 3, 'cold_per_s': 0}
            for name in names
        ],
        'limits': {
            'header_bytes': 8192,
            'body_bytes': 65536,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def announcement(
    target: TargetStandIn,
    service: str,
    domain: str,
    **fields: object,
) -> dict[str, object]:
    """Return the document that a target writes about itself."""
    host, port = target.address
    return {
        'service': service,
        'address': f'{host}:{port}',
        'zone': domain,
        'config_version': 'v1',
        'slots': 3,
        'state': 'serving',
        'cold_remaining_ms': 0,
        'seq': 1,
        'born': 1,
        **fields,
    }


def free_ports(count: int) -> tuple[int, ...]:
    """Return ports that nothing listens on.

    They lie below the kernel's range of ephemeral ports, and processes that
    import this module begin at different ports. So it is unlikely that
    another process takes a port before the gateway does.
    """
    return tuple(islice(filter(_is_free, _PORTS), count))


def _is_free(port: int) -> bool:
    try:
        socket.create_server(('127.0.0.1', port)).close()
    except OSError:
        return False
    return True


@dataclass
class Reply:
    """A response as a caller sees it."""

    status: int
    headers: dict[str, str]
    body: bytes


async def ask(
    port: int,
    path: str,
    method: str = 'GET',
    body: bytes = b'',
    headers: Iterable[str] = (),
) -> Reply:
    """Send a request on a new connection."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        lines = (
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            'X-Nutmegstep-Attempt-Id: caller-1',
            'X-Nutmegstep-Deadline-Ms: 1500',
            f'Content-Length: {len(body)}',
            *headers,
            '',
            '',
        )
        writer.write('\r\n'.join(lines).encode() + body)
        return await read_reply(reader)
    finally:
        writer.close()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one response with a length."""
    async with asyncio.timeout(5):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        pairs = (line.split(': ', 1) for line in lines[1:] if line)
        headers = {name.lower(): text for name, text in pairs}
        body = await reader.readexactly(int(headers['content-length']))
    return Reply(int(lines[0].split()[1]), headers, body)


@dataclass
class GatewayProcess:
    """A gateway process that the test started, and its ports and files."""

    process: asyncio.subprocess.Process
    port: int
    ready_port: int
    settings_file: Path
    log_file: Path

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until the readiness probe succeeds."""
        async with asyncio.timeout(15):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reply = await ask(self.ready_port, '/v1/ready')
        except (OSError, asyncio.IncompleteReadError):
            return False
        return reply.status == 200


@dataclass
class Deployment:
    """A store, a target of each service in each domain, and gateways."""

    directory: Path
    store: StoreStandIn = field(default_factory=StoreStandIn)
    targets: dict[str, TargetStandIn] = field(default_factory=dict)
    gateways: list[GatewayProcess] = field(default_factory=list)
    store_address: str = ''

    async def start(self) -> None:
        """Start the stand-ins and announce the targets."""
        self.store_address = await self.store.start()
        self.store.put('config', 'main', configuration())
        for service in (*SHARDS, 'orders'):
            for domain in DOMAINS:
                await self.add_target(service, domain)

    async def add_target(self, service: str, domain: str) -> str:
        """Start and announce a target; return its identifier."""
        target = TargetStandIn(respond())
        await target.start()
        name = f'i-{service}-{domain}'
        self.targets[name] = target
        self.store.put(
            'servers',
            name,
            announcement(target, service, domain),
        )
        return name

    async def start_gateway(
        self,
        domain: str = 'north',
        store: str = '',
        source: Path | None = None,
        **settings: str,
    ) -> GatewayProcess:
        """Start a gateway process, from the code below `source` if given."""
        number = len(self.gateways)
        port, ready_port, peers_port = free_ports(3)
        settings_file = self.directory / f'gateway-{number}.env'
        variables = {
            'VM_NAME': f'vm-{number}',
            'FAILURE_DOMAIN': domain,
            'CALLERS_ADDRESS': f'127.0.0.1:{port}',
            'READY_ADDRESS': f'127.0.0.1:{ready_port}',
            'PEERS_ADDRESS': f'127.0.0.1:{peers_port}',
            'STORE_ADDRESS': store or self.store_address,
            **settings,
        }
        settings_file.write_text(
            ''.join(
                f'NUTMEGSTEP_{name}={text}\n'
                for name, text in variables.items()
            ),
        )
        log_file = self.directory / f'gateway-{number}.log'
        process = await _spawn(settings_file, log_file, source)
        gateway = GatewayProcess(
            process,
            port,
            ready_port,
            settings_file,
            log_file,
        )
        self.gateways.append(gateway)
        return gateway

    async def restart_gateway(
        self, index: int, source: Path | None = None
    ) -> None:
        """Start a gateway that has ended again, with the same settings.

        The code is that of this work tree, or below another folder.
        """
        ended = self.gateways[index]
        process = await _spawn(ended.settings_file, ended.log_file, source)
        self.gateways[index] = replace(ended, process=process)

    async def stop(self) -> None:
        """Kill the gateways and stop the stand-ins."""
        for gateway in self.gateways:
            if gateway.process.returncode is None:
                gateway.process.kill()
            await gateway.process.wait()
        for target in self.targets.values():
            target.stop()
        self.store.http.close()


async def _spawn(
    settings_file: Path,
    log_file: Path,
    source: Path | None = None,
) -> asyncio.subprocess.Process:
    variables = {**os.environ, 'NUTMEGSTEP_NODE_FILE': str(settings_file)}
    if source is not None:
        variables['PYTHONPATH'] = str(source)
    with log_file.open('ab') as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'nutmegstep.platform',
            stdout=log,
            stderr=log,
            env=variables,
            cwd=source,
        )
