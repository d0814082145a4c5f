"""Tests of the drain over TCP sockets."""

import asyncio
import os
import signal
from random import Random
from unittest.mock import Mock

from nutmegstep.clock import ManualClock
from nutmegstep.engine import EngineState
from nutmegstep.runtime import DrainTimeouts, Runtime, run
from nutmegstep.web import HttpRequest, HttpResponse, serve_http

_TIMES = DrainTimeouts(0.01, 0.01, 0.1, 5)


async def test_signal_drains_requests_in_flight() -> None:
    """Guards against a shutdown that drops a request in flight (G9).

    The process receives SIGTERM while a handler runs.
    """
    started = asyncio.Event()
    released = asyncio.Event()

    async def handle(request: HttpRequest) -> HttpResponse:
        started.set()
        await released.wait()
        return HttpResponse(200, b'{}')

    server = await serve_http(handle, '127.0.0.1', 0)
    runtime = Runtime(EngineState('d', Random(1)), ManualClock(), Mock())
    head_filter = Mock(draining=False, refusing=False)
    running = asyncio.create_task(
        run(runtime, server, head_filter, asyncio.Event(), _TIMES),
    )
    reader, writer = await asyncio.open_connection(
        *server.sockets[0].getsockname(),
    )
    writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    await started.wait()
    os.kill(os.getpid(), signal.SIGTERM)
    while not head_filter.refusing:
        await asyncio.sleep(0)
    assert not running.done()
    released.set()
    answer = await reader.read()
    writer.close()
    assert b'200' in answer
    assert b'connection: close' in answer.lower()
    assert await running
    assert runtime.state.draining
