"""HTTP/1.1 server of a target stand-in."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import h11

from nutmegstep.standins.target import Job, TargetRequest, TargetStandIn
from nutmegstep.web import HttpResponse

__all__ = ['OpenConnections', 'domain_of', 'serve_target']

_JSON: Final = ('Content-Type', 'application/json')
_TRACE_ID_END: Final = 35


def domain_of(traceparent: bytes) -> int:
    """Return the failure domain number from a ``traceparent`` header.

    The load generator writes the domain of the entry process into the last
    byte of the trace identifier, which every hop passes on. The source
    address cannot tell the domain, since it is the same for all loopback
    connections. Without a header the number is 0.

    Examples
    --------
    >>> domain_of(b'00-' + b'0' * 31 + b'2-00000000000000a1-00')
    2
    >>> domain_of(b'')
    0
    """
    digits = traceparent[_TRACE_ID_END - 2 : _TRACE_ID_END]
    return int(digits, 16) if digits else 0


@dataclass(slots=True)
class OpenConnections:
    """Open connections of one target.

    Parameters
    ----------
    silent : set
        Connections on which responses are discarded.
    established : set
        All open connections within the limit of the target.
    """

    silent: set['_TargetProtocol'] = field(default_factory=set)
    established: set['_TargetProtocol'] = field(default_factory=set)

    def silence(self, count: int | None = None) -> int:
        """Stop answering on open connections; later ones are not affected.

        Parameters
        ----------
        count : int, optional
            Maximum number of connections to silence; all by default.

        Returns
        -------
        int
            Number of connections newly silenced.
        """
        chosen = list(self.established - self.silent)[:count]
        self.silent.update(chosen)
        return len(chosen)

    def abort_all(self) -> None:
        """Reset every connection, as happens when a target process ends."""
        for connection in tuple(self.established):
            connection.abort()


async def serve_target(
    target: TargetStandIn,
    host: str,
    port: int = 0,
) -> tuple[asyncio.Server, OpenConnections]:
    """Listen on an address and pass the requests to a target stand-in.

    Parameters
    ----------
    target : TargetStandIn
        Executes the requests.
    host : str
        IP address.
    port : int, optional
        TCP port; 0 lets the kernel choose.

    Returns
    -------
    tuple of asyncio.Server and OpenConnections
        The listening server and its connections.
    """
    connections = OpenConnections()
    server = await asyncio.get_running_loop().create_server(
        lambda: _TargetProtocol(target, connections),
        host,
        port,
    )
    return server, connections


class _TargetProtocol(asyncio.Protocol):
    """One server connection, without pipelining of requests."""

    def __init__(
        self,
        target: TargetStandIn,
        connections: OpenConnections,
    ) -> None:
        self._target = target
        self._connections = connections
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._chunks: list[bytes] = []
        self._job: Job | None = None
        self._usable_at: float = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or reset it above the target's limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        settings = self._target.settings
        if len(self._connections.established) >= settings.connections:
            self._target.counts.refused_connections += 1
            transport.abort()
            return
        self._connections.established.add(self)
        now = asyncio.get_running_loop().time()
        self._usable_at = now + settings.connect_seconds

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse requests, once the simulated connect delay has passed."""
        loop = asyncio.get_running_loop()
        if loop.time() < self._usable_at:
            loop.call_at(self._usable_at, self._read, data)
        else:
            self._read(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight."""
        self._connections.established.discard(self)
        self._connections.silent.discard(self)
        job = self._job
        self._job = None
        if job is not None:
            self._target.cancel(job)

    def _read(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._transport.abort()

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, (type, h11.ConnectionClosed)):
                return
            self._handle_event(event)

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._chunks = []
        elif isinstance(event, h11.Data):
            self._chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and self._head:
            self._submit(self._head)

    def _submit(self, head: h11.Request) -> None:
        request = _to_request(head, b''.join(self._chunks))
        # The target may reply before `submit` returns. That job must not be
        # stored, or closing the connection would cancel a finished job.
        self._job = None
        replied = False

        def reply(response: HttpResponse | None) -> None:
            nonlocal replied
            replied = True
            self._job = None
            self._write(response)

        job = self._target.submit(request, reply)
        if not replied:
            self._job = job

    def _write(self, response: HttpResponse | None) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if response is None:
            transport.abort()
            return
        if self in self._connections.silent:
            return
        head = h11.Response(
            status_code=response.status,
            headers=[
                _JSON,
                ('Content-Length', str(len(response.body))),
                *((name, str(text)) for name, text in response.headers),
            ],
        )
        parts = (
            self._http.send(head),
            self._http.send(h11.Data(data=response.body)),
            self._http.send(h11.EndOfMessage()),
        )
        transport.write(b''.join(part or b'' for part in parts))
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            transport.close()


def _to_request(head: h11.Request, body: bytes) -> TargetRequest:
    headers: Mapping[bytes, bytes] = dict(head.headers)
    return TargetRequest(
        headers.get(b'x-request-id', b'').decode('latin-1'),
        head.target.rsplit(b'/', 1)[-1].decode('latin-1'),
        int(headers.get(b'index-version', b'0')),
        body,
        domain_of(headers.get(b'traceparent', b'')),
    )
