"""Gateway processes and a request that crashes the targets that run it."""

import asyncio
import json
from collections.abc import AsyncIterator
from itertools import cycle
from pathlib import Path

import pytest

from tests.platform.deployment import (
    DOMAINS,
    Deployment,
    GatewayProcess,
    Reply,
    ask,
)
from tests.platform.standin import crash_on

_BODY = b'crash'
_PROPAGATION_SECONDS = 4.0
"""Time after the third crash in which all VMs have to know of it."""


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[Deployment]:
    """Return a deployment whose targets crash at certain orders."""
    made = Deployment(tmp_path)
    await made.start()
    _make_fragile(made)
    yield made
    await made.stop()


def _make_fragile(deployment: Deployment) -> None:
    """Let the targets for orders end when they read the request."""
    for name, target in deployment.targets.items():
        if 'orders' in name:
            crash_on(target, _BODY)


async def _order(gateway: GatewayProcess, body: bytes = _BODY) -> Reply:
    return await ask(gateway.port, '/order/1', 'POST', body)


def _bodies_of(deployment: Deployment) -> list[bytes]:
    """Return the bodies of the orders that reached the announced targets."""
    return [
        seen.body
        for name, target in deployment.targets.items()
        for seen in target.seen
        if 'orders' in name
    ]


async def _crash_all(deployment: Deployment, *gateways: GatewayProcess) -> None:
    """Send the request until it has crashed the target of each domain.

    An attempt may end at targets that have crashed before.
    """
    for gateway in cycle(gateways):
        if len(_bodies_of(deployment)) == len(DOMAINS):
            return
        assert (await _order(gateway)).status in {502, 503}


async def _is_refused(gateway: GatewayProcess) -> bool:
    """Return whether a gateway knows of the crashes.

    It is asked while no target runs, so that nothing else can be sent.
    """
    reply = await _order(gateway)
    assert reply.status == 503
    return bool(json.loads(reply.body)['reason'] == 'crashes_targets')


async def test_crashing_request_is_refused_by_all_gateways(
    deployment: Deployment,
) -> None:
    """Guards against a request that crashes further targets, as gateways do not
    tell each other of the crashes or lose the records in a restart.
    """
    first = await deployment.start_gateway()
    second = await deployment.start_gateway('south')
    await first.wait_ready()
    await second.wait_ready()
    await _crash_all(deployment, first, second)
    async with asyncio.timeout(_PROPAGATION_SECONDS):
        while not (await _is_refused(first) and await _is_refused(second)):
            await asyncio.sleep(0.1)
    third = await deployment.start_gateway('west')
    await third.wait_ready()
    first.process.kill()
    await first.process.wait()
    await deployment.restart_gateway(0)
    restarted = deployment.gateways[0]
    await restarted.wait_ready()
    for domain in DOMAINS:
        await deployment.add_target('orders', domain)
    _make_fragile(deployment)
    await asyncio.sleep(1)
    for other in (restarted, second, third):
        assert await _is_refused(other)
        assert (await _order(other, b'harmless')).status == 200
    assert _bodies_of(deployment) == [b'harmless'] * 3
