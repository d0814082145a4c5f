"""Parsing of received bytes in bounded turns of the event loop."""

import asyncio
from collections.abc import AsyncIterator, Callable
from itertools import count

import h11
import pytest

from nutmegstep.web import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    serve_http,
)
from nutmegstep.web.turns import EVENTS_PER_TURN, ReceivedBytes, TurnQueue
from tests.turns import ParsingCounter

_HEAD = b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
_CHUNKS = 20_000
_BODY = b'1\r\nz\r\n' * _CHUNKS
_END = b'0\r\n\r\n'
_GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
_TINY_HEADERS = b'GET / HTTP/1.1\r\nHost: h\r\n' + b'a:\r\n' * 50_000 + b'\r\n'
_LARGEST_HEAD = 16384
_PIECE = 4096
_SECONDS = 30.0
_OF_ONE_SLICE = 2 * EVENTS_PER_TURN


class _Service:
    """Server whose handler waits until the test releases it."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.started = asyncio.Event()
        self.released = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.server: HttpServer

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer when released."""
        self.bodies.append(request.body)
        self.started.set()
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return HttpResponse(200, b'{}')

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection(
            *self.server.sockets[0].getsockname()
        )


class _Parser(h11.Connection):
    """Parser that remembers how many bytes it was given."""

    def __init__(self) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size=_LARGEST_HEAD)
        self.given = 0

    def receive_data(self, data: bytes) -> None:
        """Count the bytes."""
        self.given += len(data)
        super().receive_data(data)


@pytest.fixture
async def service() -> AsyncIterator[_Service]:
    """Return a running server."""
    made = _Service()
    limits = HttpLimits(cancels_half_closed=True)
    made.server = await serve_http(made.handle, '127.0.0.1', 0, limits)
    yield made
    made.released.set()
    made.server.close()
    await asyncio.wait_for(made.server.wait_closed(), _SECONDS)


def _again(queue: TurnQueue, taken: list[str], name: str) -> Callable[[], None]:
    numbers = count(1)

    def go_on() -> None:
        taken.append(name)
        if next(numbers) < 3:
            queue.add(go_on)

    return go_on


async def test_one_waiting_connection_goes_on_in_each_turn() -> None:
    """Guards against turns that grow with the number of busy connections, and
    against one of them that goes first each time.
    """
    queue = TurnQueue()
    taken: list[str] = []
    for name in 'abc':
        queue.add(_again(queue, taken, name))
    lengths = []
    while len(taken) < 9:
        await asyncio.sleep(0)
        lengths.append(len(taken))
    assert lengths == list(range(1, 10))
    assert ''.join(taken) == 'abcabcabc'


def test_long_head_is_refused_before_it_is_parsed() -> None:
    """Guards against a head of many bytes that arrives in one read, and is parsed
    in one step although it is longer than allowed.
    """
    parser = _Parser()
    received = ReceivedBytes()
    with pytest.raises(h11.RemoteProtocolError):
        received.feed(parser, _TINY_HEADERS)
        received.next_event(parser)
    assert parser.given <= _LARGEST_HEAD + _PIECE


@pytest.mark.parametrize('length', [1, _PIECE, _PIECE + 1, 3 * _PIECE])
def test_pieces_make_up_what_was_received(length: int) -> None:
    """Guards against bytes that are lost or doubled between two pieces."""
    body = bytes(number % 251 for number in range(length))
    head = b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n' % length
    parser = _Parser()
    received = ReceivedBytes()
    received.feed(parser, (head + body)[:length])
    received.feed(parser, (head + body)[length:])
    parts = []
    event = received.next_event(parser)
    while not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        event = received.next_event(parser)
    assert b''.join(parts) == body
    assert not received


async def test_body_in_tiny_chunks_takes_part_of_a_turn(
    service: _Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller whose body in chunks of one byte, which HTTP allows,
    keeps the VM from anything else.
    """
    service.released.set()
    reader, writer = await service.connect()
    async with ParsingCounter(monkeypatch) as counter:
        writer.write(_HEAD + _BODY + _END)
        async with asyncio.timeout(_SECONDS):
            assert (await reader.readline()).startswith(b'HTTP/1.1 200')
    assert counter.most_in_a_turn <= _OF_ONE_SLICE
    assert service.bodies == [b'z' * _CHUNKS]
    writer.close()


async def test_connection_is_usable_after_tiny_chunks(
    service: _Service,
) -> None:
    """Guards against a connection that stays paused after a long body."""
    service.released.set()
    reader, writer = await service.connect()
    for sent in (_HEAD + _BODY + _END, _GET, _HEAD + _BODY + _END + _GET, b''):
        writer.write(sent)
        async with asyncio.timeout(_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(2)
        assert head.startswith(b'HTTP/1.1 200')
    assert len(service.bodies) == 4
    writer.close()


@pytest.mark.parametrize('chunks', [EVENTS_PER_TURN - 2, 5000])
async def test_caller_that_leaves_after_tiny_chunks_is_noticed(
    service: _Service, chunks: int
) -> None:
    """Guards against targets that work for a caller who has left, as its
    connection is not read while its request is handled.
    """
    _, writer = await service.connect()
    writer.write(_HEAD + b'1\r\nz\r\n' * chunks + _END)
    await asyncio.wait_for(service.started.wait(), _SECONDS)
    writer.transport.abort()
    await asyncio.wait_for(service.cancelled.wait(), _SECONDS)


async def test_request_of_a_closed_connection_is_not_handled(
    service: _Service,
) -> None:
    """Guards against a request that is handled although its connection was lost
    while its body waited to be parsed.
    """
    _, writer = await service.connect()
    writer.write(_HEAD + _BODY + _END)
    async with asyncio.timeout(_SECONDS):
        while not service.server.open_connections:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
    assert not service.bodies
    for connection in tuple(service.server._connections):
        connection.abort()
    await asyncio.sleep(0.5)
    assert not service.bodies
    writer.close()
