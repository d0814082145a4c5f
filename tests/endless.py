"""Responses that go on until the connection is closed."""

import asyncio
from types import MappingProxyType
from typing import Final

__all__ = ['ENDLESS', 'flood']

_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_BLOCK: Final = b'x' * 65536
_HEADERS: Final = b'a: b\r\n' * 1000
_CHUNKED: Final = b'transfer-encoding: chunked\r\n\r\n'
ENDLESS: Final = MappingProxyType(
    {
        'header': (b'%ba: ' % _HEAD, _BLOCK),
        'headers': (_HEAD, _HEADERS),
        'no head': (b'', _BLOCK),
        'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
        'length': (b'%bcontent-length: 999999999\r\n\r\n' % _HEAD, _BLOCK),
        'chunked': (b'%b%b' % (_HEAD, _CHUNKED), b'10000\r\n%b\r\n' % _BLOCK),
        'unframed': (b'%b\r\n' % _HEAD, _BLOCK),
        'trailers': (b'%b%b0\r\n' % (_HEAD, _CHUNKED), _HEADERS),
    }
)
"""For each kind the first bytes and those that follow without end."""


async def flood(kind: str, writer: asyncio.StreamWriter) -> None:
    """Write a response without end until the connection is closed.

    Raises
    ------
    ConnectionError
        The connection was closed.
    """
    first, rest = ENDLESS[kind]
    # drain() returns without a turn of the event loop while the kernel takes
    # the bytes; the sleep lets the readers run.
    writer.write(first)
    while True:
        writer.write(rest)
        await writer.drain()
        await asyncio.sleep(0)
