"""Runs the stand-ins of a deployment until the process is stopped."""

import argparse
import asyncio
from pathlib import Path
from random import Random

from nutmegstep.declarations import encode_catalogue, encode_fleet
from nutmegstep.platform_api import PlatformClient
from nutmegstep.standins import PlatformStandIn, TargetStandIn
from nutmegstep.standins.deployments import (
    SHAPES_BY_DEPLOYMENT,
    build_fleet,
    build_version,
)
from nutmegstep.web import serve_http

__all__ = ['main']

_LOOPBACK = '127.0.0.1'
_INDEX_VERSION = 41


async def _run(deployment: str, directory: Path, seed: int) -> None:
    random = Random(seed)
    version = build_version(deployment, _INDEX_VERSION)
    port_by_target: dict[str, int] = {}
    servers = []
    for shape in SHAPES_BY_DEPLOYMENT[deployment]:
        for shard in version.shards_by_name.values():
            if shard.group != shape.name:
                continue
            for name in shard.replicas:
                target = TargetStandIn(
                    name,
                    shape.slots,
                    shape.mean_ms,
                    random,
                    (_INDEX_VERSION,),
                )
                server = await serve_http(target.handle, _LOOPBACK, 0)
                servers.append(server)
                port_by_target[name] = server.sockets[0].getsockname()[1]
    platform = await serve_http(PlatformStandIn().handle, _LOOPBACK, 0)
    platform_port = platform.sockets[0].getsockname()[1]
    client = PlatformClient(_LOOPBACK, platform_port)
    await client.put(
        'config/fleet',
        encode_fleet(build_fleet(deployment, port_by_target)),
    )
    await client.put('indexes/records', encode_catalogue((version,)))
    (directory / 'platform.port').write_text(str(platform_port))
    await asyncio.Event().wait()


def main() -> None:
    """Parse the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', choices=SHAPES_BY_DEPLOYMENT)
    parser.add_argument('--directory', type=Path, required=True)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    asyncio.run(
        _run(arguments.deployment, arguments.directory, arguments.seed),
    )


if __name__ == '__main__':
    main()
