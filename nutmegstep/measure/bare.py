"""Measures the processor time of a target request without the product.

This bare loop is a minimal client of the targets, with which the processor
time of the product is compared.
"""

import asyncio
import os
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import h11

__all__ = ['BareResult', 'run_bare_loop']

#: Number of connections; equals the shards of a query at the design size, which
#: `capacity_inputs.Size` describes.
CONNECTIONS: Final = 120
_MICROSECONDS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class BareResult:
    """Requests that were answered and the processor time in seconds."""

    requests: int
    processor_seconds: float

    @property
    def microseconds(self) -> float:
        """Processor time per request in microseconds."""
        return self.processor_seconds / self.requests * _MICROSECONDS


class _BareConnection(asyncio.Protocol):
    """Connection that sends a request after each complete response."""

    def __init__(self, shard: str, version: int) -> None:
        self.answered = 0
        self.transport: asyncio.Transport | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._request = h11.Request(
            method='POST',
            target=f'/shards/{shard}',
            headers=[
                ('Host', 'target'),
                ('X-Request-Id', '1'),
                ('X-Timeout-Ms', '1000'),
                ('Index-Version', str(version)),
                ('traceparent', ''),
                ('Content-Length', '2'),
            ],
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        self._http.receive_data(data)
        event = self._http.next_event()
        while not isinstance(event, type):
            if isinstance(event, h11.EndOfMessage):
                self.answered += 1
                self._http.start_next_cycle()
                self._send()
                return
            event = self._http.next_event()

    def _send(self) -> None:
        parts = (
            self._http.send(self._request),
            self._http.send(h11.Data(data=b'{}')),
            self._http.send(h11.EndOfMessage()),
        )
        if self.transport is not None:
            self.transport.write(b''.join(part or b'' for part in parts))


async def run_bare_loop(
    endpoints: Sequence[tuple[str, int, str]],
    version: int,
    seconds: float,
) -> BareResult:
    """Keep 120 connections busy and measure the processor time per request.

    Parameters
    ----------
    endpoints : Sequence
        Host, port and shard of each target.
    version : int
        Index version that the requests name.
    seconds : float
        Length of the measurement in seconds.

    Returns
    -------
    BareResult
        Requests answered and processor time of this process.
    """
    connections = [
        await _connect(endpoints[number % len(endpoints)], version)
        for number in range(CONNECTIONS)
    ]
    answered, spent = _progress(connections)
    await asyncio.sleep(seconds)
    answered_after, spent_after = _progress(connections)
    for connection in connections:
        if connection.transport is not None:
            connection.transport.abort()
    return BareResult(answered_after - answered, spent_after - spent)


async def _connect(
    endpoint: tuple[str, int, str],
    version: int,
) -> _BareConnection:
    host, port, shard = endpoint
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: _BareConnection(shard, version),
        host,
        port,
    )
    return connection


def _progress(connections: Sequence[_BareConnection]) -> tuple[int, float]:
    times = os.times()
    answered = sum(connection.answered for connection in connections)
    return answered, times.user + times.system
