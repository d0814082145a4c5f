"""Client side of one HTTP/1.1 connection to a target."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import h11

from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind, TargetFailed
from nutmegstep.targets.wire import (
    Outcome,
    ReceivedResponse,
    encode_request,
    read_outcome,
)
from nutmegstep.web.sockets import limit_receive_buffer, set_user_timeout
from nutmegstep.web.turns import EVENTS_PER_TURN, ReceivedBytes, TurnQueue

__all__ = ['OutcomeCallback', 'TargetConnection']

OutcomeCallback = Callable[[Outcome], None]
_ConnectionCallback = Callable[['TargetConnection'], None]

_RECEIVE_BUFFER_BYTES: Final = 256 * 1024
"""Size of the kernel's buffer for bytes that the VM has not read yet."""
_USER_TIMEOUT_MS: Final = 1000
_RESPONSE_BYTES_MAX: Final = 4 * 1024 * 1024
_PART_BYTES: Final = 256
"""Bytes that each received part of a body counts beside its content. They stand
for the work of parsing it."""


@dataclass(slots=True)
class _PendingRequest:
    """The request in flight on a connection.

    Parameters
    ----------
    attempt_id : int
        Identifier of the attempt, sent as ``X-Request-Id``.
    on_outcome : Callable
        Called exactly once with the outcome.
    request_bytes : int
        Size of the encoded request.
    written : bool
        Whether the request was passed to the transport and the transport
        stayed open.
    response : ReceivedResponse
        The part of the response that has arrived so far.
    """

    attempt_id: int
    on_outcome: OutcomeCallback
    request_bytes: int = 0
    written: bool = False
    response: ReceivedResponse = field(default_factory=ReceivedResponse)


class TargetConnection(asyncio.Protocol):
    """Sends one request at a time and reports its outcome.

    A response counts only when it echoes the attempt identifier of the
    request. A connection on which anything else arrives is closed.

    Parameters
    ----------
    host_header : bytes
        Value of the ``Host`` header.
    on_idle : Callable
        Called after a response when the connection can be reused.
    on_lost : Callable
        Called when the target closed or reset the connection, before the
        outcome of the request in flight is reported.
    on_closed : Callable
        Called once when the connection is closed, by either side.
    turns : TurnQueue
        Connections with received bytes that are not parsed yet.

    Attributes
    ----------
    opened_at : float
        Monotonic time in seconds at which the connection was established.
    silent_since : float or None
        Monotonic time in seconds at which the request in flight was sent;
        None without one, or once a byte of its response has arrived.
    idle_since : float
        Monotonic time in seconds at which the connection last became idle;
        set by `IdleConnections`.
    response_count : int
        Number of complete responses received.
    """

    def __init__(
        self,
        host_header: bytes,
        on_idle: _ConnectionCallback,
        on_lost: _ConnectionCallback,
        on_closed: _ConnectionCallback,
        turns: TurnQueue,
    ) -> None:
        self.opened_at = float(0)
        self.silent_since: float | None = None
        self.idle_since = float(0)
        self.response_count = 0
        self._host = host_header
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._on_closed = on_closed
        self._turns = turns
        self._received = ReceivedBytes()
        self._http = h11.Connection(h11.CLIENT)
        self._pending: _PendingRequest | None = None
        self._transport: asyncio.Transport | None = None
        self._is_aborted = False

    @property
    def is_open(self) -> bool:
        """Whether the transport exists and is not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connection = transport.get_extra_info('socket')
        set_user_timeout(connection, _USER_TIMEOUT_MS)
        limit_receive_buffer(connection, _RECEIVE_BUFFER_BYTES)

    def send(
        self,
        effect: SendToTarget,
        now: float,
        on_outcome: OutcomeCallback,
    ) -> None:
        """Encode a request and write it to the transport.

        Parameters
        ----------
        effect : SendToTarget
            The request.
        now : float
            Current monotonic time in seconds.
        on_outcome : Callable
            Called exactly once with the outcome; possibly before this method
            returns.
        """
        pending = _PendingRequest(effect.attempt_id, on_outcome)
        self._pending = pending
        transport = self._transport
        if transport is None or transport.is_closing():
            self.fail(FailureKind.RESET)
            return
        seconds_left = effect.deadline - now
        try:
            request = encode_request(
                self._http,
                self._host,
                effect,
                seconds_left,
            )
        except h11.LocalProtocolError:
            self.fail(FailureKind.INVALID)
            return
        pending.request_bytes = len(request)
        self.silent_since = now
        transport.write(request)
        # The write buffer was empty, so `write` has already called
        # `socket.send`. If that call failed, the transport is closing and no
        # byte was sent.
        pending.written = not transport.is_closing()

    def fail(self, kind: FailureKind) -> None:
        """Close the connection and report the request in flight as failed.

        The request counts as possibly executed unless it is certain that no
        byte of it was sent.
        """
        pending = self._pending
        self._pending = None
        self.silent_since = None
        may_have_run = pending is not None and self._may_have_been_sent(pending)
        self._is_aborted = True
        if self._transport is not None:
            self._transport.abort()
        if pending is not None:
            pending.on_outcome(
                TargetFailed(pending.attempt_id, kind, may_have_run),
            )

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes without a request close the connection."""
        self.silent_since = None
        if self._pending is None:
            # Without a request in flight there is no attempt to match.
            self.fail(FailureKind.INVALID)
            return
        self._parse(data)

    def eof_received(self) -> None:
        """Complete a response whose end is marked by the end of the stream."""
        self._on_lost(self)
        if self._pending is not None:
            self._parse(b'')

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed connection and fail the request in flight."""
        if not self._is_aborted:
            self._on_lost(self)
        self.fail(FailureKind.RESET)
        self._on_closed(self)

    def _may_have_been_sent(self, pending: _PendingRequest) -> bool:
        # While the write buffer holds the whole request, the kernel has not
        # accepted any byte of it. A lost connection has dropped its buffer,
        # so nothing is known and the request counts as sent.
        if not pending.written or self._transport is None:
            return False
        buffered = self._transport.get_write_buffer_size()
        return buffered < pending.request_bytes

    def _parse(self, data: bytes) -> None:
        try:
            self._received.feed(self._http, data)
        except h11.RemoteProtocolError:
            self.fail(FailureKind.INVALID)
            return
        self._take_turn()

    def _take_turn(self) -> None:
        assert self._transport is not None
        pending = self._pending
        for _ in range(EVENTS_PER_TURN):
            if pending is None or not self._handle_next_event(pending):
                self._transport.resume_reading()
                return
        self._transport.pause_reading()
        self._turns.add(self._take_turn)

    def _handle_next_event(self, pending: _PendingRequest) -> bool:
        try:
            event = self._received.next_event(self._http)
        except h11.RemoteProtocolError:
            self.fail(FailureKind.INVALID)
            return False
        if isinstance(event, (type, h11.ConnectionClosed)):
            return False
        self._handle_event(pending, event)
        return self._pending is pending

    def _handle_event(self, pending: _PendingRequest, event: h11.Event) -> None:
        response = pending.response
        if isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            response.chunks.append(bytes(event.data))
            response.size += len(event.data) + _PART_BYTES
            if response.size > _RESPONSE_BYTES_MAX:
                self.fail(FailureKind.INVALID)
        elif isinstance(event, h11.EndOfMessage):
            self._complete(pending)

    def _complete(self, pending: _PendingRequest) -> None:
        outcome = read_outcome(pending.attempt_id, pending.response)
        self._pending = None
        self.response_count += 1
        if _is_reusable(self._http, self._received) and not _is_invalid(
            outcome
        ):
            self._http.start_next_cycle()
            self._on_idle(self)
        else:
            self.fail(FailureKind.RESET)
        pending.on_outcome(outcome)


def _is_reusable(http: h11.Connection, received: ReceivedBytes) -> bool:
    if received or http.trailing_data[0]:
        return False
    return {http.our_state, http.their_state} == {h11.DONE}


def _is_invalid(outcome: Outcome) -> bool:
    return (
        isinstance(outcome, TargetFailed)
        and outcome.kind is FailureKind.INVALID
    )
