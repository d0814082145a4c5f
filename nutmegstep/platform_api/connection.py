"""One HTTP/1.1 connection to the platform."""

import asyncio
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Final, Self

import h11

from nutmegstep.web.sockets import set_user_timeout
from nutmegstep.web.statuses import check_status
from nutmegstep.web.turns import EVENTS_PER_TURN

__all__ = ['HttpCall', 'HttpReply', 'PlatformConnection']

_READ_BYTES: Final = 65536
_PROBE_INTERVAL_SECONDS: Final = 1
"""Idle time before the first keep-alive probe and between two probes."""
_MAX_LOST_PROBES: Final = 2
"""Number of unanswered probes after which the connection is closed."""
_MAX_REPLY_BYTES: Final = 16 * 1024 * 1024
"""Longest body of a response, of the platform or of a relay. The platform sends
listings in pages, and relays compress them."""
_PART_BYTES: Final = 256
"""Bytes that each received part counts beside its content, for its object and for
the work of parsing it."""
_USER_TIMEOUT_MS: Final = 2000
"""Time after which a connection with unacknowledged bytes is closed."""


@dataclass(frozen=True, slots=True)
class HttpCall:
    """An HTTP request to send."""

    method: str
    path: str
    body: bytes = b''
    headers: Sequence[tuple[str, str]] = ()


@dataclass(slots=True)
class HttpReply:
    """An HTTP response.

    Attributes
    ----------
    status : int
        HTTP status code.
    header_by_name : dict
        Values of the headers; the names are in lower case.
    chunks : list of bytes
        Parts of the body.
    """

    status: int = 0
    header_by_name: dict[str, str] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)

    @property
    def version(self) -> str:
        """Entity tag of the object; empty without one."""
        return self.header_by_name.get('etag', '')

    @property
    def body(self) -> bytes:
        """Body of the response."""
        return b''.join(self.chunks)


class PlatformConnection:
    """HTTP/1.1 connection that handles one request at a time.

    Parameters
    ----------
    host : str
        Value of the ``Host`` header.
    reader : asyncio.StreamReader
        Stream of received bytes.
    writer : asyncio.StreamWriter
        Stream of bytes to send.

    Attributes
    ----------
    idle_since : float
        Monotonic time in seconds at which the last exchange ended.
    bytes_sent : bool
        Whether any bytes of the latest request may have been sent.
    """

    def __init__(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.idle_since = float(0)
        self.bytes_sent = False
        self._host = host
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, host: str, port: int) -> Self:
        """Open a connection to the platform.

        Raises
        ------
        OSError
            The platform cannot be reached.
        """
        reader, writer = await asyncio.open_connection(host, port)
        _detect_lost_peer(writer.get_extra_info('socket'))
        return cls(f'{host}:{port}', reader, writer)

    @property
    def reusable(self) -> bool:
        """Whether another request can be sent on this connection."""
        if self._reader.at_eof() or self._writer.is_closing():
            return False
        return self._http.our_state is h11.IDLE

    async def exchange(self, call: HttpCall) -> HttpReply:
        """Send a request and return its response.

        Raises
        ------
        OSError
            The connection failed.
        h11.RemoteProtocolError
            The response is malformed or ended early.
        """
        self.bytes_sent = False
        message = self._encode(call)
        self.bytes_sent = True
        self._writer.write(message)
        reply = await self._read_reply()
        if self._http.our_state is h11.DONE:
            if self._http.their_state is h11.DONE:
                self._http.start_next_cycle()
        return reply

    def close(self) -> None:
        """Close the connection without waiting for pending bytes."""
        self._writer.transport.abort()

    def _encode(self, call: HttpCall) -> bytes:
        head = h11.Request(
            method=call.method,
            target=call.path,
            headers=[
                ('Host', self._host),
                ('Content-Length', str(len(call.body))),
                *call.headers,
            ],
        )
        parts = (
            self._http.send(head),
            self._http.send(h11.Data(data=call.body)),
            self._http.send(h11.EndOfMessage()),
        )
        return b''.join(part or b'' for part in parts)

    async def _read_reply(self) -> HttpReply:
        reply = HttpReply()
        size = 0
        event = await self._next_event()
        for number in count(1):
            if isinstance(event, h11.EndOfMessage):
                break
            _record_event(reply, event)
            size += _size_of(event)
            if size > _MAX_REPLY_BYTES:
                raise h11.RemoteProtocolError('response is too long')
            if not number % EVENTS_PER_TURN:
                await asyncio.sleep(0)
            event = await self._next_event()
        return reply

    async def _next_event(self) -> h11.Event:
        event = self._http.next_event()
        while event is h11.NEED_DATA:
            received = await self._reader.read(_READ_BYTES)
            self._http.receive_data(received)
            event = self._http.next_event()
        if not isinstance(event, h11.Event):
            raise ConnectionResetError('connection is paused')
        check_status(event)
        return event


def _detect_lost_peer(connected: socket.socket) -> None:
    # No bytes are sent while a watch waits. Without keep-alive probes, a
    # connection whose state a device on the path has dropped would go
    # unnoticed until the watch times out.
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, _PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _MAX_LOST_PROBES),
    )
    for option, number in options:
        connected.setsockopt(socket.IPPROTO_TCP, option, number)
    set_user_timeout(connected, _USER_TIMEOUT_MS)


def _size_of(event: h11.Event) -> int:
    if isinstance(event, h11.Data):
        return len(event.data) + _PART_BYTES
    return _PART_BYTES


def _record_event(reply: HttpReply, event: h11.Event) -> None:
    if isinstance(event, h11.Response):
        reply.status = event.status_code
        reply.header_by_name = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in event.headers
        }
    elif isinstance(event, h11.Data):
        reply.chunks.append(bytes(event.data))
    elif isinstance(event, h11.ConnectionClosed):
        raise ConnectionResetError(
            'connection closed before the reply was complete'
        )
