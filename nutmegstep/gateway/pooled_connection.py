"""Client side of one HTTP/1.1 connection to a target."""

import asyncio
from collections.abc import Callable
from typing import Final

import h11

from nutmegstep.dispatch.events import HeaderItems, SendFailureKind
from nutmegstep.gateway.exchange import Exchange, SendOutcomeCallback
from nutmegstep.gateway.response_memory import ResponseMemory
from nutmegstep.web.sockets import limit_receive_buffer, set_user_timeout
from nutmegstep.web.turns import EVENTS_PER_TURN, ReceivedBytes, TurnQueue

__all__ = ['PooledConnection']

_ConnectionCallback = Callable[['PooledConnection'], None]

_TCP_USER_TIMEOUT_MS: Final = 1000
"""Value of the TCP_USER_TIMEOUT option: the kernel closes a connection whose
sent bytes are not acknowledged for this time. Without it a connection stays
open for minutes after a network partition."""
_RECEIVE_BUFFER_BYTES: Final = 64 * 1024
"""Size of the kernel's buffer for bytes that the VM has not read yet."""
_STATUS_MISDIRECTED: Final = 421
_MAX_INTERIM_RESPONSES: Final = 8
"""Most interim responses (status 1xx) before a response."""
_MAX_HEADERS: Final = 256
"""Most headers of a response. Each is handled several times on its way."""
_PART_BYTES: Final = 256
"""Bytes that each received part of a body counts beside its content, in the bound
on all responses. They stand for the work of parsing the part, so that a body in
tiny chunks ends before it has taken much of the processor."""
_DEFAULT_IDLE_S: Final = 4.0
"""Idle time-out that is assumed for a target without a Keep-Alive header."""
_END_OF_MESSAGE: Final = h11.EndOfMessage()
_IDLE_TIME_FRACTION: Final = 0.85
"""Part of the target's idle time-out in which a connection is reused. Near the
end the target may close it while a request is on its way, which may or may not
have run then."""


class PooledConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and reads its response.

    Parameters
    ----------
    on_free : Callable
        Called when the connection is free for another request.
    on_closed : Callable
        Called once when the connection is closed.
    memory : ResponseMemory
        Bound on the bytes of responses, shared with the other connections.
    turns : TurnQueue
        Connections with received bytes that are not parsed yet.

    Attributes
    ----------
    idle_since : float
        Time of the event loop, in seconds, at which the connection was last
        freed.
    has_answered : bool
        Whether the last response came from the expected target, that is, its
        status was not 421 (Misdirected Request).
    """

    def __init__(
        self,
        on_free: _ConnectionCallback,
        on_closed: _ConnectionCallback,
        memory: ResponseMemory,
        turns: TurnQueue,
    ) -> None:
        self.idle_since = float(0)
        self.has_answered = False
        self._idle_timeout_s = _DEFAULT_IDLE_S
        self._on_free = on_free
        self._on_closed = on_closed
        self._memory = memory
        self._turns = turns
        self._received = ReceivedBytes()
        self._http = h11.Connection(h11.CLIENT)
        self._exchange: Exchange | None = None
        self._transport: asyncio.Transport | None = None

    def is_reusable(self, now: float) -> bool:
        """Return whether the connection is reusable at loop time `now`."""
        if self._transport is None or self._transport.is_closing():
            return False
        return (
            now - self.idle_since < self._idle_timeout_s * _IDLE_TIME_FRACTION
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the time for which sent bytes may stay unacknowledged, and the
        received bytes that wait in the kernel.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info('socket')
        set_user_timeout(sock, _TCP_USER_TIMEOUT_MS)
        limit_receive_buffer(sock, _RECEIVE_BUFFER_BYTES)

    def send(
        self,
        head: h11.Request,
        body: bytes,
        on_outcome: SendOutcomeCallback,
        on_confirmed: Callable[[], None],
    ) -> None:
        """Write a request.

        `on_outcome` is called once with its outcome, and `on_confirmed` for
        each interim response before.
        """
        assert self._transport is not None
        self._exchange = Exchange(on_outcome, on_confirmed)
        events: tuple[h11.Event, ...] = (head, _END_OF_MESSAGE)
        if body:
            events = (head, h11.Data(data=body), _END_OF_MESSAGE)
        encoded = [self._http.send(event) or b'' for event in events]
        self._transport.write(b''.join(encoded))

    def fail(self, kind: SendFailureKind) -> None:
        """Close the connection; a request in flight ends with `kind`."""
        exchange = self._end_exchange()
        # Timers and callbacks can refer to the connection for some time.
        self._received = ReceivedBytes()
        if self._transport is not None:
            self._transport.abort()
        if exchange is not None:
            exchange.on_outcome(kind)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return self._memory.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Read response bytes that are in the buffer."""
        received = memoryview(self._memory.read_buffer)[:nbytes]
        self.data_received(received.tobytes())

    def data_received(self, data: bytes) -> None:
        """Read response bytes; close the connection if none are expected."""
        if self._exchange is None:
            self.fail(SendFailureKind.INVALID)
            return
        self._exchange.has_begun = True
        self._read(data)

    def eof_received(self) -> None:
        """Complete a response whose body ends when the target closes."""
        if self._exchange is None:
            return
        if self._exchange.has_begun:
            self._read(b'')
        else:
            self.fail(SendFailureKind.NO_RESPONSE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight and tell the pool."""
        exchange = self._exchange
        is_closed_by_target = isinstance(exc, ConnectionError)
        if exchange is None or exchange.has_begun or not is_closed_by_target:
            self.fail(SendFailureKind.RESET)
        else:
            self.fail(SendFailureKind.NO_RESPONSE)
        self._on_closed(self)

    def _read(self, data: bytes) -> None:
        try:
            self._received.feed(self._http, data)
        except h11.RemoteProtocolError:
            self.fail(SendFailureKind.INVALID)
            return
        self._take_turn()

    def _take_turn(self) -> None:
        try:
            has_more = self._read_events()
        except h11.RemoteProtocolError:
            self.fail(SendFailureKind.INVALID)
            return
        if has_more:
            assert self._transport is not None
            self._transport.pause_reading()
            self._turns.add(self._take_turn)

    def _read_events(self) -> bool:
        """Handle some events; return whether there may be more."""
        exchange = self._exchange
        for _ in range(EVENTS_PER_TURN):
            if exchange is None or self._exchange is not exchange:
                return False
            event = self._received.next_event(self._http)
            if isinstance(event, type):
                self._resume_reading()
                return False
            self._handle_event(exchange, event)
        return self._exchange is exchange

    def _resume_reading(self) -> None:
        assert self._transport is not None
        if not self._transport.is_reading():
            self._transport.resume_reading()

    def _handle_event(self, exchange: Exchange, event: h11.Event) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._handle_interim(exchange)
        else:
            self._handle_final(exchange, event)

    def _handle_final(self, exchange: Exchange, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._store_head(exchange, event)
        elif isinstance(event, h11.Data):
            self._append_body(exchange, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete(exchange)
        elif isinstance(event, h11.ConnectionClosed):
            self.fail(SendFailureKind.RESET)

    def _handle_interim(self, exchange: Exchange) -> None:
        exchange.interim_count += 1
        if exchange.interim_count > _MAX_INTERIM_RESPONSES:
            self.fail(SendFailureKind.INVALID)
            return
        exchange.on_confirmed()

    def _store_head(self, exchange: Exchange, head: h11.Response) -> None:
        exchange.status = head.status_code
        exchange.headers = tuple(head.headers)
        if len(exchange.headers) > _MAX_HEADERS:
            self.fail(SendFailureKind.INVALID)

    def _append_body(self, exchange: Exchange, data: bytes) -> None:
        added = len(data) + _PART_BYTES
        may_go_on = self._memory.reserve(exchange.reserved, added)
        exchange.reserved += added
        exchange.body += data
        if not may_go_on:
            self.fail(SendFailureKind.INVALID)

    def _end_exchange(self) -> Exchange | None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            self._memory.release(exchange.reserved)
        return exchange

    def _complete(self, exchange: Exchange) -> None:
        self._end_exchange()
        announced = _announced_idle_time(exchange.headers)
        if announced is not None:
            self._idle_timeout_s = announced
        if self._can_reuse():
            self._http.start_next_cycle()
            self._resume_reading()
            self.has_answered = exchange.status != _STATUS_MISDIRECTED
            self.idle_since = asyncio.get_running_loop().time()
            self._on_free(self)
        else:
            self.fail(SendFailureKind.RESET)
        exchange.on_outcome(exchange.reply())

    def _can_reuse(self) -> bool:
        # A target may answer before it has read the whole request body. The
        # unsent rest of that body rules out reusing the connection.
        assert self._transport is not None
        if self._transport.is_closing():
            return False
        if self._received or self._http.trailing_data[0]:
            return False
        if self._transport.get_write_buffer_size():
            return False
        states = {self._http.our_state, self._http.their_state}
        return states == {h11.DONE}


def _announced_idle_time(headers: HeaderItems) -> float | None:
    named = (text for name, text in headers if name == b'keep-alive')
    announced = next(named, b'')
    _, _, seconds = announced.partition(b'timeout=')
    digits = seconds.partition(b',')[0].strip()
    return float(digits) if digits.isdigit() else None
