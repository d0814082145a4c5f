"""One HTTP/1.1 connection to a target."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import h11

from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind, TargetAnswered, TargetFailed

__all__ = ['OutcomeCallback', 'TargetConnection']

OutcomeCallback = Callable[[TargetAnswered | TargetFailed], None]

_STATUS_OK: Final = 200
_STATUS_CONFLICT: Final = 409
_STATUS_UNAVAILABLE: Final = 503
_MILLISECONDS: Final = 1000


@dataclass(slots=True)
class _Exchange:
    """The request in flight on a connection."""

    effect: SendToTarget
    on_outcome: OutcomeCallback
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)


class TargetConnection(asyncio.Protocol):
    """Carries one request at a time and matches the answer by identifier.

    Parameters
    ----------
    host_header : str
        Value of the ``Host`` header.
    on_idle : Callable
        Called when the connection may be used again.
    on_closed : Callable
        Called once when the connection is gone.
    """

    def __init__(
        self,
        host_header: str,
        on_idle: Callable[['TargetConnection'], None],
        on_closed: Callable[['TargetConnection'], None],
    ) -> None:
        self._host = host_header
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._http = h11.Connection(h11.CLIENT)
        self._exchange: _Exchange | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(
        self,
        effect: SendToTarget,
        timeout: float,
        on_outcome: OutcomeCallback,
    ) -> None:
        """Hand a request to the kernel.

        Parameters
        ----------
        effect : SendToTarget
            The request.
        timeout : float
            Seconds left until the deadline.
        on_outcome : Callable
            Takes the outcome exactly once, unless the attempt is aborted.
        """
        self._exchange = _Exchange(effect, on_outcome)
        request = h11.Request(
            method='POST',
            target=f'/shards/{effect.shard}',
            headers=[
                ('Host', self._host),
                ('X-Request-Id', str(effect.attempt_id)),
                ('X-Timeout-Ms', str(int(timeout * _MILLISECONDS))),
                ('Index-Version', str(effect.index_version)),
                ('traceparent', effect.traceparent),
                ('Content-Length', str(len(effect.body))),
            ],
        )
        parts = (
            self._http.send(request),
            self._http.send(h11.Data(data=effect.body)),
            self._http.send(h11.EndOfMessage()),
        )
        if self._transport is not None:
            self._transport.write(b''.join(part or b'' for part in parts))

    def abort(self) -> None:
        """Close the connection and forget the request in flight."""
        self._exchange = None
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what the target sent."""
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail(FailureKind.INVALID)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the request in flight and to the pool."""
        self._fail(FailureKind.RESET)
        self._on_closed(self)

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, (type, h11.ConnectionClosed)):
                return
            self._take(event)

    def _take(self, event: h11.Event) -> None:
        exchange = self._exchange
        if exchange is None:
            self.abort()
        elif isinstance(event, h11.Response):
            exchange.status = event.status_code
            exchange.headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            exchange.chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete(exchange)

    def _complete(self, exchange: _Exchange) -> None:
        self._exchange = None
        outcome = _read_outcome(exchange)
        reusable = self._http.our_state is h11.DONE
        reusable = reusable and self._http.their_state is h11.DONE
        if reusable and not _is_invalid(outcome):
            self._http.start_next_cycle()
            self._on_idle(self)
        else:
            self.abort()
        exchange.on_outcome(outcome)

    def _fail(self, kind: FailureKind) -> None:
        exchange = self._exchange
        self.abort()
        if exchange is not None:
            exchange.on_outcome(
                TargetFailed(exchange.effect.attempt_id, kind, True),
            )


def _is_invalid(outcome: TargetAnswered | TargetFailed) -> bool:
    return (
        isinstance(outcome, TargetFailed)
        and outcome.kind is FailureKind.INVALID
    )


def _read_outcome(exchange: _Exchange) -> TargetAnswered | TargetFailed:
    attempt_id = exchange.effect.attempt_id
    headers = exchange.headers
    boot_id = headers.get(b'x-boot-id', b'').decode('latin-1')
    if headers.get(b'x-request-id') != str(attempt_id).encode():
        return TargetFailed(attempt_id, FailureKind.INVALID, True)
    if exchange.status == _STATUS_OK:
        return TargetAnswered(
            attempt_id,
            int(headers.get(b'index-version', b'0')),
            boot_id,
            b''.join(exchange.chunks),
        )
    return TargetFailed(
        attempt_id,
        _failure_kind(exchange),
        headers.get(b'x-executed') != b'no',
        _held_versions(headers.get(b'index-versions', b'')),
        boot_id,
    )


def _failure_kind(exchange: _Exchange) -> FailureKind:
    if exchange.status == _STATUS_CONFLICT:
        return FailureKind.VERSION_GONE
    if exchange.status != _STATUS_UNAVAILABLE:
        return FailureKind.ERROR
    if exchange.headers.get(b'x-draining') == b'yes':
        return FailureKind.DRAINING
    return FailureKind.SHED


def _held_versions(header: bytes) -> tuple[int, ...]:
    parts = (part.strip() for part in header.split(b','))
    return tuple(int(part) for part in parts if part.isdigit())
