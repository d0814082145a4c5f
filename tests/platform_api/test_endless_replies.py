"""Responses of the platform, or of a relay, that do not end."""

import asyncio

import h11
import pytest

from nutmegstep.platform_api.connection import HttpCall, PlatformConnection

_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_LARGE_CHUNK = b'10000\r\n' + b'x' * 65536 + b'\r\n'
_TINY_CHUNKS = b'1\r\nx\r\n' * 10_000
_INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n' * 2000
_MOST_SENT = 40 * 2**20


@pytest.mark.parametrize(
    ('head', 'block'),
    [(_HEAD, _LARGE_CHUNK), (_HEAD, _TINY_CHUNKS), (b'', _INTERIM)],
)
async def test_endless_reply_is_given_up(head: bytes, block: bytes) -> None:
    """Guards against a VM whose memory is taken by one response of the store or of
    a process that has got the address of a relay.
    """
    sent = [0]

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head)
        while not writer.is_closing() and sent[0] < _MOST_SENT:
            writer.write(block)
            sent[0] += len(block)
            await writer.drain()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    connection = await PlatformConnection.open(
        *server.sockets[0].getsockname()[:2]
    )
    with pytest.raises(h11.RemoteProtocolError):
        await connection.exchange(HttpCall('GET', '/'))
    connection.close()
    server.close()
    assert sent[0] < _MOST_SENT
