"""Requests whose handling fails at any point, over TCP sockets."""

import asyncio
import logging
from collections.abc import Mapping

import pytest

from nutmegstep.web import HttpRequest, HttpResponse, HttpServer, serve_http

_GET = b'GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-%b\r\n\r\n'


async def _raise(request: HttpRequest) -> HttpResponse:
    raise ValueError('no answer')


async def _cancel_itself(request: HttpRequest) -> HttpResponse:
    raise asyncio.CancelledError


async def _answer_with_invalid_name(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b'{}', (('X Y', '1'),))


async def _answer_with_invalid_line(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b'{}', (('X', b'1\r\nY: 2'),))


async def _answer_beyond_latin_1(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b'{}', (('X', '\u0107'),))


async def _answer_with_text_as_body(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, 'text')  # type: ignore[arg-type]


def _no_error_response(
    status: int, headers: Mapping[bytes, bytes]
) -> HttpResponse:
    raise LookupError(status)


async def _exchange(server: HttpServer, sent: bytes) -> bytes:
    host, port = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(sent)
    try:
        async with asyncio.timeout(1):
            return await reader.read()
    except ConnectionResetError:
        return b''
    finally:
        writer.close()


@pytest.mark.parametrize(
    'handler',
    [
        _raise,
        _answer_with_invalid_name,
        _answer_with_invalid_line,
        _answer_beyond_latin_1,
        _answer_with_text_as_body,
    ],
)
async def test_connection_of_a_failed_answer_is_closed(
    handler, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a request that is never answered and whose connection is
    never closed, as the task that answered it has died.
    """
    server = await serve_http(
        handler, '127.0.0.1', 0, error_response=_no_error_response
    )
    caplog.set_level(logging.ERROR, logger='nutmegstep.web')
    assert await _exchange(server, _GET % b'7') == b''
    named = [getattr(line, 'request_id', '') for line in caplog.records]
    assert 'r-7' in named
    assert all(getattr(line, 'fault', '') for line in caplog.records)
    server.close()
    async with asyncio.timeout(4):
        await server.wait_closed()


async def test_connection_of_a_cancelled_answer_is_closed() -> None:
    """Guards against the same when something that the handler waits for has been
    cancelled.
    """
    server = await serve_http(_cancel_itself, '127.0.0.1', 0)
    assert await _exchange(server, _GET % b'7') == b''
    server.close()


async def test_earlier_answer_on_the_connection_is_kept() -> None:
    """Guards against an answer that is lost with the failed one behind it."""
    answers = iter((b'first', None))

    async def answer(request: HttpRequest) -> HttpResponse:
        body = next(answers)
        if body is None:
            return await _answer_beyond_latin_1(request)
        return HttpResponse(200, body)

    server = await serve_http(answer, '127.0.0.1', 0)
    received = await _exchange(server, _GET % b'1' + _GET % b'2')
    assert received.endswith(b'\r\n\r\nfirst')
    server.close()
