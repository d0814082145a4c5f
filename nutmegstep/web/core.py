"""Server side of HTTP/1.1 with bounds on sizes."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Final
from urllib.parse import parse_qs, urlsplit

import h11

__all__ = ['HttpLimits', 'HttpRequest', 'HttpResponse', 'serve_http']

_JSON: Final = ('Content-Type', 'application/json')
_STATUS_TOO_LARGE: Final = 413


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds of a server.

    Parameters
    ----------
    head_bytes : int
        Largest request line and header block.
    body_bytes : int
        Largest body.
    """

    head_bytes: int = 16384
    body_bytes: int = 262144


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that was read completely."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response to send.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        JSON document unless `headers` name another type.
    headers : tuple of pairs
        Additional headers.
    """

    status: int
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclass(slots=True)
class _Reading:
    """The request being received."""

    head: h11.Request
    chunks: list[bytes] = field(default_factory=list)
    size: int = 0


async def serve_http(
    handler: Handler,
    host: str,
    port: int,
    limits: HttpLimits | None = None,
) -> asyncio.Server:
    """Listen and answer each request with `handler`.

    Parameters
    ----------
    handler : Callable
        Coroutine function from `HttpRequest` to `HttpResponse`. It is
        cancelled when the peer closes its connection.
    host : str
        IP number.
    port : int
        TCP port; 0 lets the kernel choose.
    limits : HttpLimits, optional
        Bounds.

    Returns
    -------
    asyncio.Server
        The listening server.
    """
    return await asyncio.get_running_loop().create_server(
        lambda: _ServerConnection(handler, limits or HttpLimits()),
        host,
        port,
    )


class _ServerConnection(asyncio.Protocol):
    """One connection; requests are answered in order."""

    def __init__(self, handler: Handler, limits: HttpLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.head_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._reading: _Reading | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._http.receive_data(data)
        self._resume()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._task is not None:
            self._task.cancel()

    def _read_events(self) -> None:
        while self._task is None:
            event = self._http.next_event()
            if isinstance(event, type):
                return
            if isinstance(event, h11.ConnectionClosed):
                self._close()
                return
            self._take(event)

    def _take(self, event: h11.Event) -> None:
        reading = self._reading
        if isinstance(event, h11.Request):
            self._reading = _Reading(event)
        elif isinstance(event, h11.Data) and reading is not None:
            self._take_body(reading, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and reading is not None:
            self._reading = None
            self._task = asyncio.get_running_loop().create_task(
                self._answer(_to_request(reading)),
            )

    def _take_body(self, reading: _Reading, chunk: bytes) -> None:
        reading.chunks.append(chunk)
        reading.size += len(chunk)
        if reading.size > self._limits.body_bytes:
            self._refuse(_STATUS_TOO_LARGE)

    async def _answer(self, request: HttpRequest) -> None:
        response = await self._handler(request)
        self._task = None
        self._write(response)
        if self._http.our_state is h11.MUST_CLOSE:
            self._close()
            return
        self._http.start_next_cycle()
        self._resume()

    def _resume(self) -> None:
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)

    def _refuse(self, status: int) -> None:
        if self._http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            self._write(HttpResponse(status, b'{}', (('Connection', 'close'),)))
        self._close()

    def _write(self, response: HttpResponse) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        head = h11.Response(
            status_code=response.status,
            headers=[
                _JSON,
                ('Content-Length', str(len(response.body))),
                *response.headers,
            ],
        )
        parts = (
            self._http.send(head),
            self._http.send(h11.Data(data=response.body)),
            self._http.send(h11.EndOfMessage()),
        )
        self._transport.write(b''.join(part or b'' for part in parts))

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


def _to_request(reading: _Reading) -> HttpRequest:
    parts = urlsplit(reading.head.target.decode('ascii'))
    return HttpRequest(
        reading.head.method.decode('ascii'),
        parts.path,
        {name: found[-1] for name, found in parse_qs(parts.query).items()},
        {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in reading.head.headers
        },
        b''.join(reading.chunks),
    )
