"""Roll-outs by gateway processes, from the order to the stop of the old targets."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from itertools import cycle
from pathlib import Path

import pytest

from tests.platform.deployment import (
    DOMAINS,
    Deployment,
    announcement,
    ask,
)
from tests.platform.standin import Seen, TargetStandIn, respond
from tests.platform.status_store import StatusStore

_SECONDS = 8
_SHARE = 0.1
_SLACK = 50
_ORDER = {
    'service': 'orders',
    'target_revision': 'v2',
    'duration_s': _SECONDS,
}


class _Rollout:
    """Three gateways, their callers, and targets of two versions."""

    def __init__(self, directory: Path) -> None:
        self.store = StatusStore()
        self.deployment = Deployment(directory, self.store)
        self.new = [TargetStandIn(respond()) for _ in DOMAINS]
        self.statuses: Counter[int] = Counter()

    async def start(self) -> None:
        """Start the gateways, then the targets of the new version."""
        await self.deployment.start()
        for domain in DOMAINS:
            await self.deployment.start_gateway(
                domain,
                EXPOSURE_SHARE=str(_SHARE),
                EXPOSURE_SLACK=str(_SLACK),
            )
        for gateway in self.deployment.gateways:
            await gateway.wait_ready()
        # The VMs must have read each other's addresses.
        await asyncio.sleep(5)
        for domain, target in zip(DOMAINS, self.new, strict=True):
            await target.start()
            name = f'i-orders-{domain}-v2'
            self.deployment.targets[name] = target
            document = announcement(
                target, 'orders', domain, config_version='v2'
            )
            self.store.put('servers', name, document)

    async def play(self) -> str:
        """Send requests until the order has ended; return its last state."""
        loop = asyncio.get_running_loop()
        gateways = cycle(self.deployment.gateways)
        self.store.put('rollouts', 'orders', _ORDER)
        ends = loop.time() + _SECONDS
        while loop.time() < ends and self.state not in {
            'completed',
            'reverted',
        }:
            await self.ask(next(gateways).port)
        return self.state

    async def ask(self, port: int) -> None:
        """Send one request, and count its answer."""
        answer = await ask(port, '/fetch/1')
        self.statuses[answer.status] += 1
        await asyncio.sleep(0.01)

    @property
    def state(self) -> str:
        """State of the order in the store."""
        status = self.store.status_of('rollouts', 'orders')
        return status['state'] if status else ''

    @property
    def new_requests(self) -> int:
        """Requests that targets of the new version got."""
        return sum(len(target.seen) for target in self.new)


@pytest.fixture
async def rollout(tmp_path: Path) -> AsyncIterator[_Rollout]:
    """Return gateways that serve one version beside targets of another."""
    made = _Rollout(tmp_path)
    await made.start()
    yield made
    await made.deployment.stop()


async def test_good_version_takes_over_without_a_failed_request(
    rollout: _Rollout,
) -> None:
    """Guards against requests to old targets, which stop undrained at the end."""
    await asyncio.gather(
        *(rollout.ask(one.port) for one in rollout.deployment.gateways)
    )
    await asyncio.sleep(0.5)
    assert not rollout.new_requests
    assert await rollout.play() == 'completed'
    for domain in DOMAINS:
        old = rollout.deployment.targets[f'i-orders-{domain}']
        old.script = respond(b'gone', 500)
        old.stop()
    for _ in range(10):
        for gateway in rollout.deployment.gateways:
            await rollout.ask(gateway.port)
    assert set(rollout.statuses) == {200}


async def test_failing_version_is_taken_back(rollout: _Rollout) -> None:
    """Guards against a bad version that gets more requests than allowed."""
    good, bad = respond(), respond(status=500)
    turns = cycle((good, bad))

    def answer(seen: Seen) -> bytes:
        return next(turns)(seen)

    for target in rollout.new:
        target.script = answer
    assert await rollout.play() == 'reverted'
    before = rollout.new_requests
    for gateway in rollout.deployment.gateways * 10:
        await rollout.ask(gateway.port)
    assert rollout.new_requests == before
    assert before <= sum(rollout.statuses.values()) * _SHARE + _SLACK
