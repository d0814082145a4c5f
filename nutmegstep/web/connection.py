"""asyncio protocol of one server connection."""

import asyncio
from typing import Protocol

from nutmegstep.web.cycle import RequestCycle
from nutmegstep.web.phases import CloseReason, Phase, ServerContext

__all__ = ['ConnectionRegistry', 'ServerConnection']


class ConnectionRegistry(ServerContext, Protocol):
    """The part of the server that a connection uses."""

    def add(self, connection: 'ServerConnection') -> bool:
        """Register a connection; return whether the limit is exceeded."""

    def discard(self, connection: 'ServerConnection') -> None:
        """Remove a closed connection."""


class ServerConnection(asyncio.BufferedProtocol):
    """Forwards events of the transport to the request cycle.

    Parameters
    ----------
    server : ConnectionRegistry
        The server that accepted the connection.

    Attributes
    ----------
    cycle : RequestCycle
        Reads and answers the requests; set by `connection_made`.
    """

    def __init__(self, server: ConnectionRegistry) -> None:
        self.cycle: RequestCycle
        self._server = server
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server and start its cycle."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        over_limit = self._server.add(self)
        self.cycle = RequestCycle(self._server, transport, over_limit)
        if not self.cycle.charge.open():
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and cancel the running handler."""
        self._server.discard(self)
        self.cycle.cancel()
        self.cycle.charge.close()

    @property
    def is_idle(self) -> bool:
        """Whether closing the connection loses no request and no response."""
        if self.cycle.phase is not Phase.IDLE or self._transport.is_closing():
            return False
        return not self._transport.get_write_buffer_size()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next bytes, which are copied at once."""
        return self._server.shared.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Read requests from the memory for received bytes."""
        self.data_received(bytes(self._server.shared.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Read requests; discard bytes that arrive after the last response, or
        for which the account has no room.
        """
        if self.cycle.phase is Phase.LINGERING:
            return
        if self.cycle.charge.admit(len(data)):
            self.cycle.feed(data)
        else:
            self.cycle.give_up()

    def eof_received(self) -> bool:
        """Handle the end of the peer's stream.

        Returns
        -------
        bool
            Whether the connection stays open for writing: True while a
            request is being handled, unless the limits say that a
            half-closed connection cancels its request.
        """
        if self.cycle.phase is not Phase.LINGERING:
            self.cycle.feed(b'')
        if self._server.limits.cancels_half_closed:
            return False
        return self.cycle.phase is Phase.BUSY

    def pause_writing(self) -> None:
        """Stop reading while the peer does not read its responses."""
        self.cycle.write_paused = True
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Continue reading requests after the write buffer has drained."""
        self.cycle.write_paused = False
        self._transport.resume_reading()
        self.cycle.feed(None)

    def make_place(self) -> None:
        """Close an idle connection, because others need its descriptor."""
        self._server.shared.on_closed(CloseReason.DESCRIPTORS)
        self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately, discarding unsent bytes."""
        self._transport.abort()
