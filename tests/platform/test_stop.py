"""Planned stops of gateway processes."""

import asyncio
import signal

from tests.platform.deployment import HOST, Deployment, ask, read_reply


async def test_planned_stop_loses_no_request(deployment: Deployment) -> None:
    """Guards against a planned stop that loses requests on open connections, or
    on new ones before the load balancer has noticed.
    """
    gateway = await deployment.start_gateway(GRACE='4')
    await gateway.wait_ready()
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    message = f'GET /sweep/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode()
    writer.write(message)
    assert (await read_reply(reader)).status == 200
    gateway.signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    writer.write(message)
    reply = await read_reply(reader)
    assert reply.status == 200
    assert reply.headers['connection'] == 'close'
    fresh = await ask(gateway.port, '/sweep/1')
    assert fresh.status == 200
    ready = await ask(gateway.ready_port, '/v1/ready')
    assert ready.status == 503
    async with asyncio.timeout(4):
        assert await gateway.process.wait() == 0


async def _ask_after(seconds: float, port: int, path: str) -> int:
    """Return the status of an answer, or 0 if there was none."""
    await asyncio.sleep(seconds)
    try:
        reply = await ask(port, path, 'POST', b'order')
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    return reply.status


async def test_late_requests_of_a_planned_stop_are_answered(
    deployment: Deployment,
) -> None:
    """Guards against requests that are passed on late in the grace period, and
    whose connections end without an answer as the process does.
    """
    gateway = await deployment.start_gateway(GRACE='4')
    await gateway.wait_ready()
    for target in deployment.targets.values():
        target.script = None
    gateway.signal(signal.SIGTERM)
    paths = ('/order/1', '/fetch/1', '/sweep/1')
    statuses = await asyncio.gather(
        *(
            _ask_after(seconds, gateway.port, path)
            for seconds in (0.1, 1, 1.8, 2.4)
            for path in paths
        )
    )
    assert set(statuses) <= {502, 503, 504}
    async with asyncio.timeout(4):
        assert await gateway.process.wait() == 0
