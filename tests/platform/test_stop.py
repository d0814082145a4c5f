"""Planned stops of gateway processes."""

import asyncio
import signal
import socket
from contextlib import suppress

from tests.platform.deployment import (
    HOST,
    Deployment,
    GatewayProcess,
    Reply,
    ask,
    read_reply,
)


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


def _is_listening(gateway: GatewayProcess) -> bool:
    with socket.socket() as tried:
        return tried.connect_ex(('127.0.0.1', gateway.port)) == 0


async def _pass_on(gateway: GatewayProcess, path: str) -> Reply:
    """Send a request in the way of another VM."""
    settings = gateway.settings_file.read_text()
    port = int(settings.partition('PEERS_ADDRESS=127.0.0.1:')[2].split()[0])
    terms = ('Nutmegstep-Config-Version: 1', 'Nutmegstep-Partial-Answer-Ms: 90')
    return await ask(port, path, 'GET', b'', terms)


async def test_vm_that_stops_serves_what_is_passed_on(
    deployment: Deployment,
) -> None:
    """Guards against VMs without links to the targets that fail their callers as
    the others, which serve their own, are stopped one after the other.
    """
    gateway = await deployment.start_gateway(GRACE='6')
    await gateway.wait_ready()
    gateway.signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    kept = await asyncio.open_connection('127.0.0.1', gateway.port)
    for _ in range(4):
        reply = await _pass_on(gateway, '/fetch/1')
        assert (reply.status, reply.body) == (200, b'r' * 16)
        await asyncio.sleep(0.5)
    while _is_listening(gateway):
        await asyncio.sleep(0.1)
    with suppress(OSError):
        reply = await _pass_on(gateway, '/fetch/1')
        assert reply.headers['nutmegstep-declined'] == 'stopping'
    kept[1].close()
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


async def test_grace_that_was_lowered_is_kept_to(
    deployment: Deployment,
) -> None:
    """Guards against orders that are cut at the end of a grace period which a
    reload has lowered.
    """
    gateway = await deployment.start_gateway(GRACE='20', TRACE_RATIO='0')
    await gateway.wait_ready()
    lowered = gateway.settings_file.read_text()
    lowered = lowered.replace('_GRACE=20', '_GRACE=4').replace(
        'RATIO=0', 'RATIO=1'
    )
    gateway.settings_file.write_text(lowered)
    gateway.signal(signal.SIGHUP)
    async with asyncio.timeout(5):
        while 'settings reloaded' not in gateway.log_file.read_text():
            await asyncio.sleep(0.1)
    kept = await asyncio.open_connection('127.0.0.1', gateway.port)
    gateway.signal(signal.SIGTERM)
    async with asyncio.timeout(6):
        assert await gateway.process.wait() == 0
    kept[1].close()
    assert '"after_restart": ["trace_ratio"]' in gateway.log_file.read_text()
