"""A gateway process whose targets answer with a status that HTTP lacks."""

import pytest

from tests.platform.deployment import DOMAINS, Deployment, ask
from tests.platform.standin import Seen, TargetStandIn, respond

_UNDEFINED = (b'000', b'099', b'600', b'999')
_SERVED = 30
_TRIES = 9


def _spoil(target: TargetStandIn, status: bytes) -> None:
    """Let a target answer as it does, signed, but with another status."""
    answer = respond()

    def spoiled(seen: Seen) -> bytes:
        return answer(seen).replace(b' 200 ', b' %b ' % status, 1)

    target.script = spoiled


@pytest.mark.parametrize('status', _UNDEFINED)
async def test_caller_gets_no_undefined_status(
    deployment: Deployment, status: bytes
) -> None:
    """Guards against passing on an answer that is none: another target serves a
    request that may be repeated, and one that must not run twice ends with 502.
    """
    spoiled = [deployment.targets[f'i-orders-{one}'] for one in DOMAINS]
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    # Requests that are served earn the budget for repeats.
    for _ in range(_SERVED):
        await ask(gateway.port, '/fetch/1')
    _spoil(spoiled[0], status)
    replies = [await ask(gateway.port, '/fetch/1') for _ in range(_TRIES)]
    assert {one.status for one in replies} == {200}
    for target in spoiled:
        _spoil(target, status)
        target.seen.clear()
    order = await ask(gateway.port, '/order/1', 'POST', b'once')
    assert order.status == 502
    assert sum(len(one.seen) for one in spoiled) == 1
    fetched = await ask(gateway.port, '/fetch/1')
    assert fetched.status in {502, 503}
