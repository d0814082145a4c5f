"""Keep-alive HTTP connections of callers to one entry process."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

import h11

__all__ = ['CallerPool', 'CallerReply', 'EntryAddress']

_QUERY_PATH: Final = '/v1/services/all-records/query'


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """Address of an entry process.

    Parameters
    ----------
    host, port : str, int
        Address at which it takes queries.
    domain : int
        Number of its failure domain.
    pid : int
        Process identifier.
    """

    host: str
    port: int
    domain: int
    pid: int


@dataclass(frozen=True, slots=True)
class CallerReply:
    """Reply to a query.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no connection could be made or it was lost.
    body : bytes
        Body of the response.
    """

    status: int
    body: bytes = b''


@dataclass(slots=True)
class CallerPool:
    """Connections to one entry process; the latest used is reused first.

    Parameters
    ----------
    entry : EntryAddress
        The entry process.
    timeout_ms : int
        Timeout in the header of each request.
    trace_flags : int
        Flags of the W3C trace context; 1 makes the entry process record spans.
    idle : list
        Open connections without a request.
    """

    entry: EntryAddress
    timeout_ms: int = 1000
    trace_flags: int = 0
    idle: list['_CallerConnection'] = field(default_factory=list)

    async def query(self, request_id: int, body: bytes) -> CallerReply:
        """Send one query and return the reply; status 0 if there is none."""
        try:
            connection = await self._take()
        except OSError:
            return CallerReply(0)
        try:
            reply = await connection.exchange(self._serialise(request_id, body))
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.reusable:
            self.idle.append(connection)
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()

    async def _take(self) -> '_CallerConnection':
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable:
                return connection
        loop = asyncio.get_running_loop()
        _, created = await loop.create_connection(
            _CallerConnection,
            self.entry.host,
            self.entry.port,
        )
        return created

    def _serialise(self, request_id: int, body: bytes) -> bytes:
        domain = self.entry.domain
        return (
            f'POST {_QUERY_PATH} HTTP/1.1\r\nHost: entry\r\n'
            f'X-Request-Id: {request_id}\r\nX-Timeout-Ms: {self.timeout_ms}\r\n'
            f'traceparent: 00-{request_id:030x}{domain:02x}-'
            f'{request_id + 1:016x}-{self.trace_flags:02x}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body


class _CallerConnection(asyncio.Protocol):
    """Connection that carries one request at a time."""

    def __init__(self) -> None:
        self.reusable = False
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._reply: asyncio.Future[CallerReply] | None = None
        self._status = 0
        self._chunks: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    async def exchange(self, request: bytes) -> CallerReply:
        """Send a serialised request and return the reply."""
        # The request is serialised without h11, which would cost the load
        # generator as much as the entry process spends on parsing it. h11
        # only needs a placeholder, to be ready to parse the response.
        self.reusable = False
        self._reply = asyncio.get_running_loop().create_future()
        self._chunks = []
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(_PLACEHOLDER)
        self._http.send(h11.EndOfMessage())
        if self._transport is None or self._transport.is_closing():
            return CallerReply(0)
        self._transport.write(request)
        return await self._reply

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are invalid."""
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._resolve(CallerReply(0))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the request in flight with status 0."""
        self.reusable = False
        self._resolve(CallerReply(0))

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, (type, h11.ConnectionClosed)):
                return
            if isinstance(event, h11.Response):
                self._status = event.status_code
            elif isinstance(event, h11.Data):
                self._chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.reusable = self._http.their_state is h11.DONE
                reply = CallerReply(self._status, b''.join(self._chunks))
                self._resolve(reply)

    def _resolve(self, reply: CallerReply) -> None:
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(reply)


_PLACEHOLDER: Final = h11.Request(
    method='POST',
    target=_QUERY_PATH,
    headers=[('Host', 'entry'), ('Content-Length', '0')],
)
