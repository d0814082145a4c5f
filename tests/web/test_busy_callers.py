"""Callers that send more while their request is being handled."""

import asyncio

from nutmegstep.web import (
    HttpRequest,
    HttpResponse,
    MemoryAccount,
    SharedParts,
    serve_http,
)

_CAPACITY = 40_000
"""Bytes for one request that is being handled, and not for 64 KB behind it."""
_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


async def test_request_is_answered_though_its_caller_sends_too_much() -> None:
    """Guards against a request that is cut off, possibly after it has run, because
    the bytes behind it have no room.
    """
    may_end = asyncio.Event()

    async def answer(request: HttpRequest) -> HttpResponse:
        await may_end.wait()
        return HttpResponse(200, b'done')

    shared = SharedParts(MemoryAccount(_CAPACITY))
    server = await serve_http(answer, '127.0.0.1', 0, shared=shared)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(_REQUEST)
    await asyncio.sleep(0.1)
    writer.write(_REQUEST * 2000)
    await asyncio.sleep(0.1)
    may_end.set()
    reply = await asyncio.wait_for(reader.readuntil(b'done'), 5)
    assert reply.startswith(b'HTTP/1.1 200')
    assert b'close' in reply.lower()
    assert shared.account.most_held <= _CAPACITY
    writer.close()
    server.close()
