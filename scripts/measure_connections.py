"""Print the memory that a connection of a caller takes, by what it has sent.

Run ``python scripts/measure_connections.py`` from the root of the repository. The
callers are in the same process: their sockets take no memory of Python's that
isn't subtracted by the first line.
"""

import asyncio
import resource
import socket
from pathlib import Path
from typing import Final

from nutmegstep.web import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    serve_http,
)

_CALLERS: Final = 400
_AT_ONCE: Final = 50
_HEAD: Final = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n'
_SENT: Final = {
    'nothing': b'',
    'half a head': _HEAD,
    'a head': _HEAD + b'\r\n',
    'a head of 8 KB in one header': _HEAD + b'a: ' + b'x' * 8000 + b'\r\n\r\n',
    'a head of 8 KB in 1,100 headers': (
        _HEAD + b''.join(b'%d:b\r\n' % one for one in range(1100)) + b'\r\n'
    ),
    'a body of 262,143 bytes': _HEAD + b'\r\n' + b'x' * 262143,
}


async def _answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200)


def _resident() -> int:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


async def _connect(server: HttpServer, sent: bytes) -> list[socket.socket]:
    callers = []
    loop = asyncio.get_running_loop()
    for number in range(_CALLERS):
        caller = socket.create_connection(server.sockets[0].getsockname())
        caller.setblocking(False)
        callers.append(caller)
        await loop.sock_sendall(caller, sent)
        if not number % _AT_ONCE:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    return callers


async def _measure() -> None:
    server = await serve_http(
        _answer,
        '127.0.0.1',
        0,
        HttpLimits(connections=10_000, head_seconds=600, body_seconds=600),
    )
    # What grows once, such as the tables of the event loop, isn't counted.
    kept = await _connect(server, b'')
    for name, sent in _SENT.items():
        before = _resident()
        kept.extend(await _connect(server, sent))
        each = (_resident() - before) / _CALLERS
        print(f'{name}: {each / 1000:.1f} KB')
    for caller in kept:
        caller.close()


if __name__ == '__main__':
    asyncio.run(_measure())
