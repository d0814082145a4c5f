"""Gateway processes and targets whose answers have lost their signature."""

import asyncio

import pytest

from tests.platform.deployment import Deployment, ask
from tests.platform.standin import Seen, respond

_SIGNATURE = b'x-nutmegstep-server-stamp'
_LOG_SECONDS = 5.0
"""Time in which log lines are written."""


def _unsigned(seen: Seen) -> bytes:
    """Answer with one wrong byte in the name of the signature's header."""
    wrong = _SIGNATURE.replace(b'stamp', b'stcmp')
    return respond()(seen).replace(_SIGNATURE, wrong)


@pytest.mark.parametrize(
    ('path', 'method', 'runs'),
    [('/order/1', 'POST', 1), ('/fetch/1', 'GET', 2)],
)
async def test_unsigned_success_is_not_passed_on(
    deployment: Deployment, path: str, method: str, runs: int
) -> None:
    """Guards against callers that get a success which no target has signed."""
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    # Requests add to the budget of repeats, which is empty at the start.
    for _ in range(60):
        await ask(gateway.port, '/fetch/1')
    orders = [
        target
        for name, target in deployment.targets.items()
        if name.startswith('i-orders')
    ]
    for target in orders:
        target.seen.clear()
        target.script = _unsigned
    answer = await ask(gateway.port, path, method, b'order')
    assert answer.status == 502
    assert answer.headers['x-nutmegstep-attempt-id'] == 'caller-1'
    assert sum(len(target.seen) for target in orders) == runs
    async with asyncio.timeout(_LOG_SECONDS):
        while '"signed": false' not in gateway.log_file.read_text():
            await asyncio.sleep(0.05)
