"""Gateway processes and targets that close in the middle of a response head."""

from collections.abc import Callable
from functools import partial

import pytest

from tests.platform.deployment import Deployment, ask
from tests.platform.standin import Seen, respond


def _answer_partly(
    whole: Callable[[Seen], bytes], length: int, seen: Seen
) -> bytes:
    return whole(seen)[:length]


@pytest.mark.parametrize('length', [20, 60, 100])
async def test_head_that_stops_in_the_middle_is_no_answer(
    deployment: Deployment, length: int
) -> None:
    """Guards against a 200 with an empty or short body, framed as whole, when a
    target closes in the middle of the head of its answer.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    for _ in range(8):
        await ask(gateway.port, '/fetch/1')
    whole = respond()
    broken = (
        target
        for name, target in deployment.targets.items()
        if name.endswith('north')
    )
    for target in broken:
        target.script = partial(_answer_partly, whole, length)
        target.closes_after_answer = True
    fetched = [await ask(gateway.port, '/fetch/1') for _ in range(4)]
    assert {(one.status, one.body) for one in fetched} == {(200, b'r' * 16)}
    swept = await ask(gateway.port, '/sweep/1')
    missing = int(swept.headers.get('x-nutmegstep-missing-parts', 0))
    assert swept.status != 200 or len(swept.body) == 16 * (3 - missing)
    ordered = await ask(gateway.port, '/order/1', 'POST', b'order')
    assert (ordered.status, ordered.body) != (200, b'')
    assert ordered.status == 502 or ordered.body == b'r' * 16
