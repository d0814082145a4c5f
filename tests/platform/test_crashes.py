"""Gateway processes and a request that crashes the targets that run it."""

import asyncio
import json
from collections.abc import AsyncIterator
from itertools import cycle
from pathlib import Path

import pytest

from nutmegstep.dispatch.crashes import KEEP_SECONDS
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
"""Time after a crash in which all VMs have to know of it."""
_PROBE_SECONDS = 40.0
"""Time after the third crash in which each VM has had a turn to send a probe."""


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


async def _crash_in_probe(
    deployment: Deployment, *gateways: GatewayProcess
) -> None:
    """Send the request to another target until one gateway probes it there.

    All other attempts are refused.
    """
    await deployment.add_target('orders', DOMAINS[0])
    _make_fragile(deployment)
    async with asyncio.timeout(_PROBE_SECONDS):
        for gateway in cycle(gateways):
            reply = await _order(gateway)
            if reply.status == 502:
                break
            assert reply.status == 503
            await asyncio.sleep(0.1)
    assert _bodies_of(deployment).count(_BODY) == len(DOMAINS)


async def _retry_after(gateway: GatewayProcess) -> float:
    """Return the seconds for which a gateway refuses the request; 0 if it does
    not know of the crashes.

    It is asked while no target runs, so that nothing else can be sent.
    """
    reply = await _order(gateway)
    assert reply.status == 503
    if json.loads(reply.body)['reason'] != 'crashes_targets':
        return 0
    return float(reply.headers['retry-after'])


async def _wait_for_refusals(seconds: float, *gateways: GatewayProcess) -> None:
    """Wait until all gateways refuse the request for some time."""
    async with asyncio.timeout(_PROPAGATION_SECONDS):
        for gateway in gateways:
            while await _retry_after(gateway) < seconds:
                await asyncio.sleep(0.1)


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
    await _wait_for_refusals(1, first, second)
    await _crash_in_probe(deployment, first, second)
    await _wait_for_refusals(KEEP_SECONDS, first, second)
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
        assert await _retry_after(other) == KEEP_SECONDS
        assert (await _order(other, b'harmless')).status == 200
    assert _bodies_of(deployment) == [b'harmless'] * 3
