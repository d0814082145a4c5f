"""Runs the platform and target stand-ins of an example deployment.

The process runs until it is stopped. It writes the ports that the kernel
chose to files in the given directory.
"""

import argparse
import asyncio
from pathlib import Path
from random import Random

import orjson

from nutmegstep.declarations import encode_catalogue, encode_fleet
from nutmegstep.platform_api import ObjectClient
from nutmegstep.standins.control import ServedTarget, control_handler
from nutmegstep.standins.deployments import (
    DOMAIN_COUNT,
    INDEX_VERSION,
    SHAPES_BY_DEPLOYMENT,
    build_fleet,
    build_version,
    target_settings,
)
from nutmegstep.standins.platform import PlatformStandIn
from nutmegstep.standins.target import TargetStandIn
from nutmegstep.standins.target_server import serve_target
from nutmegstep.web import HttpLimits, serve_http

__all__ = ['main']

_LOOPBACK = '127.0.0.1'
_POLL_SECONDS = 0.05
_MAX_VALUE_BYTES = 1_000_000


async def _serve_domain(arguments: argparse.Namespace, domain: int) -> None:
    version = build_version(arguments.deployment, INDEX_VERSION)
    random = Random(arguments.seed * DOMAIN_COUNT + domain)
    served: dict[str, ServedTarget] = {}
    port_by_target: dict[str, int] = {}
    for shard, settings in target_settings(
        arguments.deployment,
        arguments.service_scale,
    ):
        if settings.domain != domain:
            continue
        shards_by_version = {version.number: frozenset((shard.name,))}
        target = TargetStandIn(settings, random, shards_by_version)
        server, connections = await serve_target(target, _LOOPBACK)
        served[settings.name] = ServedTarget(target, connections)
        port_by_target[settings.name] = server.sockets[0].getsockname()[1]
    control = await serve_http(control_handler(served), _LOOPBACK, 0)
    port = control.sockets[0].getsockname()[1]
    _write(
        arguments.directory / f'control-{domain}.port',
        f'{_LOOPBACK}:{port}'.encode(),
    )
    _write(
        arguments.directory / f'targets-{domain}.json',
        orjson.dumps(port_by_target),
    )


async def _serve_platform(arguments: argparse.Namespace) -> None:
    deployment, directory = arguments.deployment, arguments.directory
    server = await serve_http(
        PlatformStandIn().handle,
        _LOOPBACK,
        0,
        HttpLimits(body_bytes=_MAX_VALUE_BYTES),
    )
    port = server.sockets[0].getsockname()[1]
    port_by_target: dict[str, int] = {}
    for domain in range(1, DOMAIN_COUNT + 1):
        path = directory / f'targets-{domain}.json'
        while not path.exists():
            await asyncio.sleep(_POLL_SECONDS)
        port_by_target.update(orjson.loads(path.read_bytes()))
    client = ObjectClient(_LOOPBACK, port)
    fleet = build_fleet(deployment, port_by_target, arguments.entry_vms)
    version = build_version(deployment, INDEX_VERSION)
    written = await client.put('config/fleet', encode_fleet(fleet))
    written.unwrap()
    catalogue = encode_catalogue((version,))
    (await client.put('indexes/records', catalogue)).unwrap()
    client.close()
    _write(directory / 'platform.port', str(port).encode())


def _write(path: Path, document: bytes) -> None:
    # Other processes poll for the file and read it as soon as it exists, so
    # it is renamed into place after its content is complete.
    partial = path.with_suffix('.partial')
    partial.write_bytes(document)
    partial.rename(path)


async def _run(arguments: argparse.Namespace) -> None:
    domains = range(1, DOMAIN_COUNT + 1)
    for domain in (arguments.domain,) if arguments.domain else domains:
        await _serve_domain(arguments, domain)
    if arguments.domain in {None, 1}:
        await _serve_platform(arguments)
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--deployment',
        choices=SHAPES_BY_DEPLOYMENT,
        required=True,
    )
    parser.add_argument('--directory', type=Path, required=True)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--domain',
        type=int,
        choices=range(1, DOMAIN_COUNT + 1),
        help='serve only the targets of this failure domain; 1 also serves '
        'the platform',
    )
    parser.add_argument(
        '--entry-vms',
        type=int,
        default=2,
        help='entry VMs of each failure domain in the configuration',
    )
    parser.add_argument(
        '--service-scale',
        type=float,
        default=1,
        help='factor by which the mean service times are multiplied',
    )
    asyncio.run(_run(parser.parse_args()))


if __name__ == '__main__':
    main()
