"""HTTP/1.1 server with limits on sizes, times and connections."""

import asyncio
import socket
from collections.abc import Mapping
from functools import partial
from typing import Final

from nutmegstep.web.connection import ServerConnection
from nutmegstep.web.listening import accept_backlog, bind, serve_on
from nutmegstep.web.messages import (
    ErrorResponseBuilder,
    Handler,
    HeadFilter,
    HttpLimits,
    HttpResponse,
    RequestHead,
)
from nutmegstep.web.phases import Phase, SharedParts
from nutmegstep.web.places import make_places

__all__ = ['HttpServer', 'serve_http']

_DEADLINE_CHECK_INTERVAL_S: Final = 0.25
_ABORT_FACTOR: Final = 2
"""Multiple of the connection limit above which connections are aborted."""
_ACCEPT_TURNS: Final = 4
"""Turns of the event loop after which the server knows each connection that the
loop had accepted before. asyncio takes three."""


def _pass_request(head: RequestHead) -> None:
    """Pass every request to the handler."""


def _empty_error(
    status: int,
    headers: Mapping[bytes, bytes],
) -> HttpResponse:
    return HttpResponse(status, b'{}')


class HttpServer:
    """A listening server and its connections.

    Parameters
    ----------
    handler : Handler
        Handles requests that were read completely.
    limits : HttpLimits
        Limits on sizes, times and connections.
    head_filter : HeadFilter, optional
        Answers requests from their head, before the body is read. By default
        every request goes to the handler.
    error_response : ErrorResponseBuilder, optional
        Builds error responses; by default their body is an empty JSON object.
    shared : SharedParts, optional
        Parts that the connections share; by default their memory has no bound.

    Attributes
    ----------
    draining : bool
        Whether each response closes its connection.
    id_header : bytes
        Lower-case name of the header with the identifier of a request, for log
        lines.
    last_accepted_at : float
        Time of the event loop in seconds at which the latest connection was
        accepted.

    Notes
    -----
    The time limits of all connections are checked every 0.25 s. A timer for
    each request would be more precise than the limits require and cost more.
    """

    id_header: bytes = b'x-request-id'

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        head_filter: HeadFilter | None = None,
        error_response: ErrorResponseBuilder | None = None,
        shared: SharedParts | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.head_filter = head_filter or _pass_request
        self.error_response = error_response or _empty_error
        self.draining = False
        self.last_accepted_at = float(0)
        self._shared = shared or SharedParts()
        self._connections: set[ServerConnection] = set()
        self._making_place: set[ServerConnection] = set()
        self._socket: socket.socket | None = None
        self._listener: asyncio.Server | None = None
        self._backlog_tasks: list[asyncio.Task[object]] = []
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._all_closed = asyncio.Event()
        self._all_closed.set()

    @property
    def shared(self) -> SharedParts:
        """Parts that the connections share."""
        return self._shared

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Listening sockets."""
        return self._listener.sockets if self._listener else ()

    @property
    def open_connections(self) -> int:
        """Number of open connections, including those that linger."""
        return len(self._connections)

    @property
    def pending_connections(self) -> int:
        """Number of connections that must not be cut.

        Their request is being read or handled, their response has not been
        written completely, or they have just been accepted, possibly from the
        backlog of the closed listening socket.
        """
        accepting = sum(not task.done() for task in self._backlog_tasks)
        return accepting + sum(
            one.cycle.is_pending for one in self._connections
        )

    async def listen(self, host: str, port: int) -> None:
        """Start accepting connections.

        Parameters
        ----------
        host : str
            IP address.
        port : int
            TCP port; 0 lets the kernel choose one.
        """
        self._socket = bind(host, port, self.limits)
        self._listener = await serve_on(
            self._socket, partial(ServerConnection, self)
        )
        self._schedule_deadline_check()

    def add(self, connection: ServerConnection) -> bool:
        """Register a connection; return whether the limit is exceeded.

        If the limits state a number of sockets, idle connections are closed
        for it. Above that number it is aborted.
        """
        self.last_accepted_at = asyncio.get_running_loop().time()
        limits = self.limits
        over = len(self._connections) + 1 - limits.connections
        if over > 0 and limits.sockets:
            over -= make_places(self._connections, self._making_place, over)
        self._connections.add(connection)
        self._all_closed.clear()
        most = limits.sockets or limits.connections * _ABORT_FACTOR
        if len(self._connections) > most:
            connection.abort()
        return over > 0

    def discard(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._making_place.discard(connection)
        if not self._connections:
            self._all_closed.set()

    def start_draining(self) -> None:
        """Close each connection after its next response."""
        self.draining = True

    def close(self) -> None:
        """Stop accepting connections.

        Requests that have begun to arrive are still answered. Connections
        that wait for another request are closed. Those that have not sent a
        request yet may still send one within the usual time limit.
        """
        self.draining = True
        if self._listener is not None and self._socket is not None:
            last = self._socket.dup()
            self._socket = None
            self._listener.close()
            with last:
                backlog = accept_backlog(last)
            loop = asyncio.get_running_loop()
            new_connection = partial(ServerConnection, self)
            self._backlog_tasks.extend(
                loop.create_task(
                    loop.connect_accepted_socket(new_connection, accepted)
                )
                for accepted in backlog
            )
        for connection in tuple(self._connections):
            cycle = connection.cycle
            if cycle.answered and cycle.phase is Phase.IDLE:
                connection.abort()

    async def wait_accepted(self) -> None:
        """Wait, after `close`, until the server knows all its connections."""
        # A connection that its peer has reset meanwhile is none.
        await asyncio.gather(*self._backlog_tasks, return_exceptions=True)
        for _ in range(_ACCEPT_TURNS):
            await asyncio.sleep(0)

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        await self.wait_accepted()
        await self._all_closed.wait()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()

    def _schedule_deadline_check(self) -> None:
        self._deadline_timer = asyncio.get_running_loop().call_later(
            _DEADLINE_CHECK_INTERVAL_S,
            self._check_deadlines,
        )

    def _check_deadlines(self) -> None:
        now = asyncio.get_running_loop().time()
        for connection in tuple(self._connections):
            if connection.cycle.deadline <= now:
                connection.cycle.time_out()
        self._schedule_deadline_check()


async def serve_http(  # noqa: WPS211 - one for each optional part, by keyword
    handler: Handler,
    host: str,
    port: int,
    limits: HttpLimits | None = None,
    *,
    head_filter: HeadFilter | None = None,
    error_response: ErrorResponseBuilder | None = None,
    shared: SharedParts | None = None,
) -> HttpServer:
    """Start a server that answers each request with `handler`.

    Parameters
    ----------
    handler : Handler
        Coroutine function from `HttpRequest` to `HttpResponse`. It is
        cancelled when the connection is lost.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 lets the kernel choose one.
    limits : HttpLimits, optional
        Limits on sizes, times and connections.
    head_filter : HeadFilter, optional
        Answers requests from their head, before the body is read.
    error_response : ErrorResponseBuilder, optional
        Builds error responses.
    shared : SharedParts, optional
        Parts that the connections share, such as the account of their memory.

    Returns
    -------
    HttpServer
        The listening server.
    """
    server = HttpServer(
        handler,
        limits or HttpLimits(),
        head_filter,
        error_response,
        shared,
    )
    await server.listen(host, port)
    return server
