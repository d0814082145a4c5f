"""One connection to the platform."""

import asyncio

import pytest

from nutmegstep.platform_api.connection import HttpCall, PlatformConnection
from nutmegstep.web.turns import EVENTS_PER_TURN
from tests.turns import ParsingCounter

_CHUNKS = 20_000
_REPLY = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    + b'1\r\nz\r\n' * _CHUNKS
    + b'0\r\n\r\n'
)


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(_REPLY)
    await writer.drain()
    await reader.read()
    writer.close()


async def test_reply_in_tiny_chunks_takes_part_of_a_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a store, or a relay, whose reply in chunks of one byte keeps
    the VM from anything else.
    """
    server = await asyncio.start_server(_answer, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    connection = await PlatformConnection.open(host, port)
    async with ParsingCounter(monkeypatch) as counter:
        reply = await connection.exchange(HttpCall('GET', '/'))
    assert reply.body == b'z' * _CHUNKS
    assert counter.most_in_a_turn <= 2 * EVENTS_PER_TURN
    connection.close()
    server.close()
    await asyncio.sleep(0.1)
