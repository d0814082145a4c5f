"""Connections of a server whose account of memory is full."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from nutmegstep.web import (
    CloseReason,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    MemoryAccount,
    SharedParts,
    serve_http,
)

_CAPACITY = 2_000_000
_BODY_BYTES = 262_144
_STALLED = 8
_UNREAD = 6
_ANSWER_BYTES = 600_000
_TURNS = 200

_Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass
class _Fixture:
    """A server with a small account and what it has done."""

    account: MemoryAccount
    answer: bytes = b'{}'
    handled: list[bytes] = field(default_factory=list)
    closed: list[CloseReason] = field(default_factory=list)
    may_answer: asyncio.Event = field(default_factory=asyncio.Event)
    server: HttpServer = field(init=False)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer once the test allows it."""
        self.handled.append(request.target)
        await self.may_answer.wait()
        return HttpResponse(200, self.answer)

    async def open(self, sent: bytes) -> _Stream:
        """Send bytes on a new connection."""
        host, port = self.server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(sent)
        return reader, writer


@asynccontextmanager
async def _serve(
    capacity: int = _CAPACITY, answer: bytes = b'{}', sockets: int = 0
) -> AsyncIterator[_Fixture]:
    made = _Fixture(MemoryAccount(capacity), answer)
    limits = HttpLimits(
        connections=sockets or 100, sockets=sockets * 2, send_buffer=65536
    )
    shared = SharedParts(made.account, made.closed.append)
    made.server = await serve_http(
        made.handle, '127.0.0.1', 0, limits, shared=shared
    )
    yield made
    made.server.close()


def _post(path: str, body: bytes, length: int = _BODY_BYTES) -> bytes:
    head = (
        f'POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n'
    )
    return head.encode() + body


async def test_refused_body_has_not_run_and_says_when_to_return() -> None:
    """Guards against a refusal for want of room that is untrue, or that leaves the
    caller without an answer.
    """
    async with _serve() as made:
        made.may_answer.set()
        streams = []
        for number in range(_STALLED):
            sent = _post(f'/{number}', b'x' * (_BODY_BYTES - 1))
            streams.append(await made.open(sent))
            await asyncio.sleep(0.05)
        reader, writer = streams[0]
        received = await asyncio.wait_for(reader.read(), 5)
        writer.write(b'x')
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 1.000' in received.lower()
        assert b'connection: close' in received.lower()
        assert set(made.closed) == {CloseReason.MEMORY}
        last_reader, last_writer = streams[-1]
        last_writer.write(b'x')
        last = await asyncio.wait_for(last_reader.readline(), 5)
        assert last.startswith(b'HTTP/1.1 200')
        assert b'/0' not in made.handled
        assert made.account.most_held <= _CAPACITY
        for _, one in streams:
            one.close()


async def test_request_that_is_handled_is_answered_when_the_account_is_full() -> (
    None
):
    """Guards against a crowd that ends requests which may have run."""
    async with _serve() as made:
        reader, writer = await made.open(_post('/order', b'x' * 9, 9))
        while not made.handled:
            await asyncio.sleep(0)
        crowd = [
            await made.open(_post('/', b'x' * (_BODY_BYTES - 1)))
            for _ in range(_STALLED * 2)
        ]
        while not made.closed:
            await asyncio.sleep(0)
        made.may_answer.set()
        line = await asyncio.wait_for(reader.readline(), 5)
        assert line.startswith(b'HTTP/1.1 200')
        for _, one in (*crowd, (reader, writer)):
            one.close()


async def test_answers_that_nobody_reads_are_broken_off() -> None:
    """Guards against callers that hold all of the account by not reading."""
    async with _serve(answer=b'x' * _ANSWER_BYTES) as made:
        made.may_answer.set()
        sent = _post('/', b'', 0) * 2
        crowd = [await made.open(sent) for _ in range(_UNREAD)]
        for one, _ in crowd:
            one._transport.pause_reading()  # noqa: SLF001
        while len(made.handled) < _UNREAD:
            await asyncio.sleep(0)
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        assert made.account.most_held <= _CAPACITY
        for _, opened in crowd:
            opened.close()


@pytest.mark.parametrize('size', [0, 100, _BODY_BYTES])
async def test_account_is_empty_after_the_last_connection(size: int) -> None:
    """Guards against charges that stay, so that the account fills over days."""
    async with _serve() as made:
        made.may_answer.set()
        for _ in range(20):
            reader, writer = await made.open(_post('/', b'x' * size, size))
            line = await asyncio.wait_for(reader.readline(), 5)
            assert line.startswith(b'HTTP/1.1 200')
            writer.close()
        while made.server.open_connections:
            await asyncio.sleep(0)
        assert not made.account.held
        assert not made.closed


async def test_idle_connections_give_their_place_to_a_new_one() -> None:
    """Guards against an idle crowd that keeps ordinary callers out."""
    async with _serve(sockets=20) as made:
        made.may_answer.set()
        idle = [await made.open(b'') for _ in range(60)]
        reader, writer = await made.open(_post('/', b'', 0))
        line = await asyncio.wait_for(reader.readline(), 5)
        assert line.startswith(b'HTTP/1.1 200')
        assert set(made.closed) == {CloseReason.DESCRIPTORS}
        for _, one in (*idle, (reader, writer)):
            one.close()
