"""One connection of the HTTP server."""

import asyncio
from typing import Protocol

from nutmegstep.web.cycle import Phase, RequestCycle, ServerContext

__all__ = ['ConnectionRegistry', 'ServerConnection']


class ConnectionRegistry(ServerContext, Protocol):
    """What a connection needs from its server."""

    def add(self, connection: 'ServerConnection') -> bool:
        """Register a connection; return whether the limit is exceeded."""

    def discard(self, connection: 'ServerConnection') -> None:
        """Forget a connection that is gone."""


class ServerConnection(asyncio.Protocol):
    """Passes what happens on a connection to its request cycle.

    Parameters
    ----------
    server : ConnectionRegistry
        The server.

    Attributes
    ----------
    cycle : RequestCycle
        Exists as soon as the connection is made.
    """

    def __init__(self, server: ConnectionRegistry) -> None:
        self.cycle: RequestCycle
        self._server = server
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        over_limit = self._server.add(self)
        self.cycle = RequestCycle(self._server, transport, over_limit)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler; nobody can take its answer."""
        self._server.discard(self)
        self.cycle.cancel()

    def data_received(self, data: bytes) -> None:
        """Read requests; bytes after the last response are dropped."""
        if self.cycle.phase is not Phase.LINGERING:
            self.cycle.feed(data)

    def eof_received(self) -> bool:
        """Keep a half-closed connection open until its answer is sent."""
        if self.cycle.phase is not Phase.LINGERING:
            self.cycle.feed(b'')
        if self._server.limits.cancels_half_closed:
            return False
        return self.cycle.phase is Phase.BUSY

    def pause_writing(self) -> None:
        """Limit the time for which the peer may leave a response unread."""
        self.cycle.paused = True
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Take further requests again."""
        self.cycle.paused = False
        self._transport.resume_reading()
        self.cycle.feed(None)

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()
