"""Gateway processes and targets that state a limit of requests."""

import asyncio
import json
import time
from collections import defaultdict

from tests.platform.deployment import Deployment, GatewayProcess, ask
from tests.platform.standin import most_in_window, note_times, respond

_LIMIT = 3.0
_ADAPT_SECONDS = 4.0
"""Time after the first statement of a limit from which it must be kept."""
_WINDOW_SECONDS = 4.0
_ALLOWED = 1.5 * _LIMIT * _WINDOW_SECONDS + 5
_LOAD_SECONDS = 10.0
_CALLERS = 4


async def _load(gateway: GatewayProcess, reasons: dict[str, int]) -> None:
    """Send requests one after the other and count the refusals by reason."""
    ends = time.monotonic() + _LOAD_SECONDS
    while time.monotonic() < ends:
        reply = await ask(gateway.port, '/fetch/1')
        if reply.status != 200:
            reasons[json.loads(reply.body)['reason']] += 1
        await asyncio.sleep(0.01)


async def test_gateways_keep_to_the_limits_of_targets_together(
    deployment: Deployment,
) -> None:
    """Guards against gateways that each exceed a limit or use all of it, and
    against requests that wait until their deadline for a limited target.
    """
    times_by_target = {
        name: note_times(target, respond(headers=f'server-limit: {_LIMIT}\r\n'))
        for name, target in deployment.targets.items()
        if 'orders' in name
    }
    gateways = [
        await deployment.start_gateway(domain) for domain in ('north', 'south')
    ]
    for started in gateways:
        await started.wait_ready()
    reasons: dict[str, int] = defaultdict(int)
    await asyncio.gather(
        *(_load(gateway, reasons) for gateway in gateways * _CALLERS)
    )
    for times in times_by_target.values():
        most = most_in_window(times, _ADAPT_SECONDS, _WINDOW_SECONDS)
        assert 0 < most <= _ALLOWED
    assert set(reasons) == {'overloaded'}
