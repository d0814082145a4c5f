"""Tests of the HTTP server over TCP sockets."""

import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from nutmegstep.web import (
    EncodedResponse,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    RequestHead,
    serve_http,
)
from nutmegstep.web.connection import ServerConnection

_GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
_POST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n'
_SHED = b'HTTP/1.1 429 Shed\r\nContent-Length: 0\r\n\r\n'
_LIMITS = HttpLimits(
    body_bytes=64,
    head_seconds=0.1,
    body_seconds=0.1,
    connections=3,
)


class _Fixture:
    """A server with a handler that the tests control.

    The path ``/slow`` waits for `released`; the path ``/fault`` raises an
    exception.
    """

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.server: HttpServer

    async def handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/fault':
            raise ValueError(request.path)
        self.started.set()
        if request.path == '/slow':
            await self._wait()
        return HttpResponse(200, b'"%b"' % request.body)

    async def connect(self):
        host, port = self.server.sockets[0].getsockname()
        return await asyncio.open_connection(host, port)

    async def exchange(self, sent: bytes) -> bytes:
        """Send bytes, shut down the sending side and read to the end."""
        reader, writer = await self.connect()
        writer.write(sent)
        writer.write_eof()
        received = await reader.read()
        writer.close()
        return received

    async def _wait(self) -> None:
        try:
            await self.released.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


def _check(head: RequestHead) -> EncodedResponse | None:
    return EncodedResponse(_SHED, False) if b'x-shed' in head.headers else None


@pytest.fixture
async def fixture() -> AsyncIterator[_Fixture]:
    made = _Fixture()
    made.server = await serve_http(
        made.handle,
        '127.0.0.1',
        0,
        _LIMITS,
        head_filter=_check,
    )
    yield made
    made.released.set()
    made.server.close()
    await made.server.wait_closed()


def _statuses(received: bytes) -> list[int]:
    return [int(part[:3]) for part in received.split(b'HTTP/1.1 ')[1:]]


@pytest.mark.parametrize(
    ('sent', 'statuses'),
    [
        ((_GET, _POST, b'body'), [200, 200]),
        ((b'nonsense\r\n\r\n',), [400]),
        ((_GET, b'nonsense\r\n\r\n'), [200, 400]),
        ((_POST.replace(b': 4', b': 65'),), [413]),
        ((_GET[:-2], b'X: ', b'x' * 16384), [431]),
        ((_GET.replace(b'/a', b'/fault'), _GET), [500, 200]),
        ((_POST[:-2], b'X-Shed: 1\r\n\r\nbody', _GET), [429, 200]),
        ((_POST, b'bo'), [400]),
    ],
)
async def test_status_of_each_request(
    fixture: _Fixture, sent, statuses
) -> None:
    """Guards against an error that affects other requests of a connection.

    Several requests are sent on one connection. Those before an invalid one
    must be answered, and a failed handler or a refusal before the body must
    not prevent the next response.
    """
    assert _statuses(await fixture.exchange(b''.join(sent))) == statuses


@pytest.mark.parametrize(
    ('sent', 'statuses'),
    [(b'', []), (b'GET /a', [408]), (_POST, [408])],
)
async def test_slow_request_times_out(
    fixture: _Fixture,
    sent,
    statuses,
) -> None:
    """Guards against connections that a peer keeps open with partial requests.

    The peer sends nothing, a part of the head, or a head without its body.
    """
    reader, writer = await fixture.connect()
    writer.write(sent)
    assert _statuses(await reader.read()) == statuses
    writer.close()


async def test_half_closed_connection_gets_its_response(
    fixture: _Fixture,
) -> None:
    """Guards against losing the response to a peer that has stopped sending.

    The peer shuts down its sending side while its request is being handled.
    """
    exchange = asyncio.create_task(
        fixture.exchange(_GET.replace(b'/a', b'/slow')),
    )
    await fixture.started.wait()
    await asyncio.sleep(0)
    fixture.released.set()
    assert _statuses(await exchange) == [200]


async def test_reset_cancels_the_handler(fixture: _Fixture) -> None:
    """Guards against handling a request whose connection has been reset."""
    _, writer = await fixture.connect()
    writer.write(_GET.replace(b'/a', b'/slow'))
    await fixture.started.wait()
    writer.get_extra_info('socket').setsockopt(1, 13, b'\1\0\0\0\0\0\0\0')
    writer.transport.abort()
    await fixture.cancelled.wait()


async def test_close_answers_requests_in_flight(fixture: _Fixture) -> None:
    """Guards against a server that drops requests when it closes (G9).

    One request is being handled, and another one has been sent on a connection
    that the server has not accepted yet.
    """
    reader, writer = await fixture.connect()
    writer.write(_GET.replace(b'/a', b'/slow'))
    await fixture.started.wait()
    late = socket.create_connection(fixture.server.sockets[0].getsockname())
    late.sendall(_GET)
    fixture.server.close()
    fixture.released.set()
    late_reader, late_writer = await asyncio.open_connection(sock=late)
    assert _statuses(await late_reader.read()) == [200]
    late_writer.close()
    received = await reader.read()
    assert _statuses(received) == [200]
    assert b'connection: close' in received.lower()
    writer.close()
    await fixture.server.wait_closed()


async def test_number_of_connections_is_limited(fixture: _Fixture) -> None:
    """Guards against serving more connections than the configured limit."""
    writers = [(await fixture.connect())[1] for _ in range(3)]
    assert _statuses(await fixture.exchange(_GET)) == [503]
    for writer in writers:
        writer.close()


class _ResetTransport(asyncio.Transport):
    """A transport whose peer has reset the connection, still reported open."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def write(self, data: bytes) -> None:
        """Drop the bytes."""

    def is_closing(self) -> bool:
        return self.aborted

    def get_write_buffer_size(self) -> int:
        return 0

    def is_reading(self) -> bool:
        return True

    def write_eof(self) -> None:
        raise OSError

    def abort(self) -> None:
        self.aborted = True


async def test_reset_before_write_eof_aborts_the_connection(fixture) -> None:
    """Guards against an exception while responding after a reset.

    The peer resets the connection after an invalid request, before asyncio
    reports it, so that shutting down the sending side raises `OSError`.
    """
    transport = _ResetTransport()
    connection = ServerConnection(fixture.server)
    connection.connection_made(transport)
    try:
        connection.data_received(b'no HTTP\r\n\r\n')
    finally:
        connection.connection_lost(None)
    assert transport.aborted


@pytest.mark.parametrize(
    ('limit', 'head', 'sent', 'status'),
    [(65, 24 * 1024, 65, 200), (3, 1024, 4, 413)],
)
async def test_limits_change_on_kept_connections(
    fixture: _Fixture, limit: int, head: int, sent: int, status: int
) -> None:
    """Guards against a kept connection that refuses bodies, or heads, which the
    limits allow by now, or takes longer ones than they do.
    """
    reader, writer = await fixture.connect()
    writer.write(_GET)
    received = await reader.readuntil(b'""')
    fixture.server.limits = replace(_LIMITS, body_bytes=limit, head_bytes=head)
    padding = b'X: %b\r\n\r\n' % (b'x' * (head - 512))
    body = b'b' * sent
    start = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n'
    message = start % len(body) + padding + body
    writer.write(message[:9000])
    await asyncio.sleep(0.01)
    writer.write(message[9000:])
    writer.write_eof()
    received += await reader.read()
    writer.close()
    assert _statuses(received) == [200, status]
