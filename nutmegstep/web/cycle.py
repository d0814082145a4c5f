"""Request cycle of one connection: read, handle, respond, repeat."""

import asyncio
import math
from typing import Final

from nutmegstep.web.charges import ConnectionCharge
from nutmegstep.web.faults import log_fault
from nutmegstep.web.messages import (
    HttpRequest,
    HttpResponse,
    with_retry_after,
)
from nutmegstep.web.phases import (
    INCOMPLETE,
    READING,
    CloseReason,
    Phase,
    ServerContext,
)
from nutmegstep.web.reader import (
    InvalidRequestError,
    ReadEvent,
    RequestReader,
)
from nutmegstep.web.turns import EVENTS_PER_TURN

__all__ = ['RequestCycle']

_STATUS_INTERNAL_ERROR: Final = 500
_STATUS_TIMEOUT: Final = 408
_STATUS_UNAVAILABLE: Final = 503
_LINGER_S: Final = 2
"""Time after the last response for the peer to close the connection."""


class RequestCycle:
    """Reads and answers the requests of one connection, one at a time.

    Parameters
    ----------
    server : ServerContext
        Handler, limits and state of the server.
    transport : asyncio.Transport
        Transport of the connection.
    over_limit : bool
        Whether the server has more open connections than its limit.

    Attributes
    ----------
    phase : Phase
        Current phase.
    deadline : float
        Time of the event loop in seconds at which the phase times out.
    answered : bool
        Whether a request of the connection has been answered.
    write_paused : bool
        Whether the write buffer is full because the peer does not read its
        responses. No further request is read meanwhile.
    charge : ConnectionCharge
        What the connection has in the account of the process.
    """

    def __init__(
        self,
        server: ServerContext,
        transport: asyncio.Transport,
        over_limit: bool,
    ) -> None:
        self.write_paused = False
        self.answered = False
        self._server = server
        self._transport = transport
        self._over_limit = over_limit
        self._reader = RequestReader(lambda: server.limits)
        self._closes_after_body = False
        self._task: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()
        self.charge = ConnectionCharge(
            server.shared.account,
            transport,
            self._reader,
            self.give_up,
            self._loop.time,
        )
        self._enter(Phase.IDLE, server.limits.head_seconds)

    @property
    def is_pending(self) -> bool:
        """Whether closing the connection now would lose a request."""
        if self._transport.get_write_buffer_size():
            return True
        if self.phase is Phase.IDLE:
            return not self.answered
        return self.phase is not Phase.LINGERING

    def feed(self, data: bytes | None) -> None:
        """Process received bytes.

        Parameters
        ----------
        data : bytes or None
            Received bytes; empty at the end of the stream. None continues
            with the bytes that were received before.
        """
        try:
            self._read_events(data)
        except InvalidRequestError as error:
            self._send_error(error.status)
        if self.phase is Phase.BUSY and self._reader.has_data:
            # Further pipelined requests stay in the socket buffer until the
            # current one is answered, which bounds the memory per connection.
            self._transport.pause_reading()
        if not self.charge.settle():
            self.give_up()

    def time_out(self) -> None:
        """Handle the expiry of `deadline`.

        An incomplete request gets status 408; any other connection is aborted.
        """
        if self.phase in INCOMPLETE and not self.write_paused:
            self._send_error(_STATUS_TIMEOUT)
        else:
            self._transport.abort()

    def give_up(self) -> None:
        """Free what the connection holds, because the account is full.

        A request that has not been read completely is refused: it has not run.
        One that is being handled is answered, after which the connection ends.
        Otherwise the connection is aborted.
        """
        if self.phase is Phase.BUSY:
            self._over_limit = True
            self._transport.pause_reading()
            return
        self._server.shared.on_closed(CloseReason.MEMORY)
        is_unread = self.phase in INCOMPLETE or self.phase is Phase.IDLE
        if is_unread and not self._transport.get_write_buffer_size():
            self._send_error(_STATUS_UNAVAILABLE)
        else:
            self._reader.drop()
            self._transport.abort()

    def cancel(self) -> None:
        """Cancel the handler, since its response can no longer be delivered."""
        if self._task is not None:
            self._task.cancel()

    @property
    def _may_read(self) -> bool:
        return self.phase in READING and not self.write_paused

    def _enter(self, phase: Phase, seconds: float) -> None:
        self.phase = phase
        self.deadline = self._loop.time() + seconds

    def _read_events(self, data: bytes | None) -> None:
        if data is not None:
            self._reader.feed(data)
        if data and self.phase is Phase.IDLE:
            self._enter(Phase.HEAD, self._server.limits.head_seconds)
        for _ in range(EVENTS_PER_TURN):
            if not self._may_read:
                return
            event = self._reader.next_event()
            if event is ReadEvent.NEED_DATA:
                self._transport.resume_reading()
                return
            self._handle_event(event)
        if self._may_read:
            self._transport.pause_reading()
            self._server.shared.turns.add(self._read_on)

    def _read_on(self) -> None:
        if not self._transport.is_closing():
            self.feed(None)

    def _handle_event(self, event: ReadEvent) -> None:
        if event is ReadEvent.HEAD:
            self._handle_head()
        elif event is ReadEvent.COMPLETE:
            self._handle_complete()
        elif event is ReadEvent.PEER_CLOSED:
            self._linger()

    def _handle_head(self) -> None:
        head = self._reader.head(self._over_limit)
        encoded = self._server.head_filter(head)
        seconds = self._server.limits.body_seconds
        if encoded:
            self._transport.write(encoded.content)
            self._closes_after_body = encoded.close
            self._enter(Phase.SKIPPING, seconds)
        elif self._over_limit:
            self._send_error(_STATUS_UNAVAILABLE)
        else:
            self._transport.write(self._reader.encode_continue())
            self._enter(Phase.BODY, seconds)

    def _handle_complete(self) -> None:
        if self.phase is Phase.SKIPPING:
            self._finish_request(
                self._reader.start_next_after_encoded(), self._closes_after_body
            )
            return
        request = self._reader.request()
        if not self.charge.hold_request(request):
            self.give_up()
            return
        self._enter(Phase.BUSY, math.inf)
        # Only a connection that is read shows that its peer has left.
        self._transport.resume_reading()
        self._task = self._loop.create_task(self._answer(request))

    async def _answer(self, request: HttpRequest) -> None:
        # A busy connection has no time limit. Whatever fails here must end it,
        # or the caller would wait for good.
        try:
            await self._handle_and_respond(request)
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        except Exception as error:
            self._log_fault('HTTP request could not be answered', error)
            self._transport.abort()

    async def _handle_and_respond(self, request: HttpRequest) -> None:
        try:
            response = await self._server.handler(request)
        except Exception as error:
            self._log_fault('HTTP request handler raised an exception', error)
            response = self._server.error_response(
                _STATUS_INTERNAL_ERROR,
                self._reader.headers,
            )
        self._task = None
        close = self._server.draining or self._over_limit
        self._write(response, close)
        self._finish_request(self._reader.start_next_request(), close)
        self.feed(None)

    def _finish_request(self, reusable: bool, close: bool) -> None:
        self.answered = True
        limits = self._server.limits
        if close or not reusable:
            self._linger()
        elif self.write_paused:
            self._enter(Phase.IDLE, limits.write_seconds)
        elif self._reader.has_data:
            self._enter(Phase.HEAD, limits.head_seconds)
        else:
            self._enter(Phase.IDLE, limits.keep_alive_seconds)
        if not self.write_paused:
            self._transport.resume_reading()
        if not self.charge.end_request():
            self.give_up()

    def _send_error(self, status: int) -> None:
        if self.phase is not Phase.SKIPPING:
            response = self._server.error_response(status, self._reader.headers)
            if status == _STATUS_UNAVAILABLE:
                seconds = self._server.limits.retry_after_seconds
                response = with_retry_after(response, seconds)
            self._write(response, close=True)
        self._linger()

    def _write(self, response: HttpResponse, close: bool) -> None:
        try:
            encoded = self._reader.encode(response, close)
        except Exception as error:
            self._log_fault('HTTP response could not be encoded', error)
            return
        if encoded:
            self._transport.write(encoded)

    def _log_fault(self, message: str, error: Exception) -> None:
        log_fault(message, error, self._server.id_header, self._reader.headers)

    def _linger(self) -> None:
        # Closing a socket with unread bytes makes the kernel send a reset, and
        # the peer may then lose a response that it has not read yet.
        self._reader.drop()
        unsent = self._transport.get_write_buffer_size() > 0
        limits = self._server.limits
        self._enter(
            Phase.LINGERING,
            limits.write_seconds if unsent else _LINGER_S,
        )
        if self._transport.is_closing():
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The peer has reset the connection, but the transport has not
            # been told yet.
            self._transport.abort()
            return
        self._transport.resume_reading()
