"""Gateway processes and a store that comes back from an older copy."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.platform.deployment import (
    HOST,
    Deployment,
    GatewayProcess,
    ask,
    configuration,
)

_IN_FORCE_SECONDS = 3.0
"""Time after which an acknowledged change must be in force."""


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[Deployment]:
    """Return a deployment without gateways."""
    made = Deployment(tmp_path)
    await made.start()
    yield made
    await made.stop()


def _add_route(deployment: Deployment, version: int) -> str:
    """Write a version with a route of its own; return a path of it."""
    added = {
        'name': f'added-{version}',
        'host': HOST,
        'path_prefix': f'/added-{version}/',
        'route_kind': 'idempotent',
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'service': 'orders',
        'attempts': 2,
    }
    document = configuration(version, added=added)
    deployment.store.put('config', 'main', document)
    return f'/added-{version}/1'


async def _wait_served(gateway: GatewayProcess, path: str) -> None:
    async with asyncio.timeout(_IN_FORCE_SECONDS):
        while (await ask(gateway.port, path)).status != 200:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize('written_again', [0, 30])
async def test_route_added_after_a_restoration_is_served(
    deployment: Deployment, written_again: int
) -> None:
    """Guards against a 404 for a route that was added after the store had been
    restored, by a gateway that ran, was paused or was restarted meanwhile.
    """
    running = await deployment.start_gateway()
    paused = await deployment.start_gateway('south')
    restarted = await deployment.start_gateway('west')
    gateways = (running, paused, restarted)
    for gateway in gateways:
        await gateway.wait_ready()
    copied = deployment.store.copy()
    for version in range(2, 12):
        path = _add_route(deployment, version)
    for gateway in gateways:
        await _wait_served(gateway, path)
    paused.signal(signal.SIGSTOP)
    deployment.store.go_away()
    restarted.process.kill()
    await restarted.process.wait()
    await deployment.restart_gateway(2)
    await asyncio.sleep(0.3)
    deployment.store.restore(copied)
    _add_route(deployment, 11)
    for number in range(written_again):
        deployment.store.put('servers', f'other-{number}', {})
    deployment.store.is_away = False
    path = _add_route(deployment, 15)
    await _wait_served(running, path)
    await deployment.gateways[2].wait_ready()
    await _wait_served(deployment.gateways[2], path)
    await asyncio.sleep(1)
    paused.signal(signal.SIGCONT)
    await _wait_served(paused, path)
