"""Tests of the connection pool against a scripted server on loopback."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import replace

import pytest

from nutmegstep.clock import ManualClock
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import (
    FailureKind,
    TargetAnswered,
    TargetConnectionsClosed,
    TargetConnectionsLost,
    TargetFailed,
)
from nutmegstep.model import Target
from nutmegstep.targets import TargetPool

_SEND = SendToTarget(1, 1, 't', 's', 41, b'{}', 9, '')


class _Server:
    """Responds with `script` and records the requests of each connection."""

    def __init__(self) -> None:
        self.requests: list[tuple[int, bytes]] = []
        self.closed = 0
        self.closes = False
        self.script: Callable[[bytes], bytes] = _answer
        self._connections = 0

    async def serve(self, reader, writer) -> None:
        self._connections += 1
        number = self._connections
        while head := await _read_head(reader):
            self.requests.append((number, head))
            writer.write(self.script(head))
            if self.closes:
                break
        self.closed += 1
        writer.close()


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b''
    return head


def _answer(head: bytes, body: bytes = b'{"a":1}') -> bytes:
    echo = head.split(b'x-request-id: ')[1].split(b'\r\n')[0]
    return (
        b'HTTP/1.1 200 OK\r\nindex-version: 41\r\nx-boot-id: b\r\n'
        b'x-request-id: %b\r\ncontent-length: %d\r\n\r\n%b'
    ) % (echo, len(body), body)


class _Fixture:
    """A pool, a target that the server plays, and the reported outcomes."""

    def __init__(self, server: _Server, port: int) -> None:
        self.server = server
        self.clock = ManualClock()
        self.denied: FailureKind | None = None
        self.target = Target('t', '127.0.0.1', port, 'd', 3, 1, 9)
        self.pool = TargetPool(
            self.clock,
            lambda effect, now: self.denied,
            waiting_max=2,
        )
        self.outcomes: list[TargetAnswered | TargetFailed] = []
        self.events: list[object] = []
        self.pool.on_disconnect = self.events.append

    def send(self, attempt_id: int, limit: int = 1, **changes) -> None:
        effect = replace(_SEND, attempt_id=attempt_id, **changes)
        self.pool.send(effect, self.target, limit, self.outcomes.append)

    async def until(self, count: int) -> list[TargetAnswered | TargetFailed]:
        while len(self.outcomes) < count:
            await asyncio.sleep(0)
        return self.outcomes

    async def until_requests(self, count: int) -> None:
        while len(self.server.requests) < count:
            await asyncio.sleep(0)


@pytest.fixture
async def fixture() -> AsyncIterator[_Fixture]:
    server = _Server()
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    made = _Fixture(server, listener.sockets[0].getsockname()[1])
    yield made
    made.pool.close()
    listener.close()


def _failures(outcomes) -> list[tuple[int, FailureKind, bool]]:
    return [(one.attempt_id, one.kind, one.may_have_run) for one in outcomes]


async def test_connection_is_reused(fixture: _Fixture) -> None:
    """Guards against opening a new connection for each request."""
    for attempt_id in (1, 2):
        fixture.send(attempt_id)
        await fixture.until(attempt_id)
    assert fixture.outcomes[1] == TargetAnswered(2, 41, 'b', b'{"a":1}')
    assert [number for number, _ in fixture.server.requests] == [1, 1]


@pytest.mark.parametrize(
    'script',
    [
        lambda head: _answer(b'x-request-id: 8\r\n'),
        lambda head: _answer(head, b'{"a":'),
        lambda head: _answer(head, b' ' * (4 * 1024 * 1024 + 1)),
        lambda head: _answer(head).replace(b'index-version: 41\r\n', b''),
        lambda head: b'ICY 200\r\n\r\n',
    ],
    ids=['crossed', 'truncated', 'oversized', 'no version', 'not HTTP'],
)
async def test_invalid_response_closes_connection(
    fixture: _Fixture, script
) -> None:
    """Guards against delivering another request's or a broken response (G5).

    A faulty target may echo another identifier, cut off the body, exceed the
    size limit, omit the index version or not speak HTTP. What arrives later on
    such a connection cannot be trusted either, so it must not be reused.
    """
    fixture.server.script = script
    fixture.send(1)
    outcomes = await fixture.until(1)
    assert _failures(outcomes) == [(1, FailureKind.INVALID, True)]
    fixture.server.script = _answer
    fixture.send(2)
    await fixture.until(2)
    assert fixture.server.requests[1][0] == 2


async def test_cancel_tells_whether_request_was_sent(fixture: _Fixture) -> None:
    """Guards against a false `not run` and against reuse after a cancel.

    A request in flight may have run, a queued one has not. The response to a
    cancelled request could still arrive on its connection.
    """
    fixture.server.script = lambda head: b''
    fixture.send(1)
    fixture.send(2)
    await fixture.until_requests(1)
    fixture.pool.cancel(2)
    fixture.pool.cancel(1)
    fixture.pool.cancel(1)
    assert _failures(fixture.outcomes) == [
        (2, FailureKind.CANCELLED, False),
        (1, FailureKind.CANCELLED, True),
    ]
    fixture.send(3)
    await fixture.until_requests(2)
    assert [number for number, _ in fixture.server.requests] == [1, 2]


async def test_queue_length_is_limited(fixture: _Fixture) -> None:
    """Guards against a queue that grows without limit when a target is slow."""
    for attempt_id in (1, 2, 3):
        fixture.send(attempt_id)
    expected = [(3, FailureKind.NO_CONNECTION, False)]
    assert _failures(fixture.outcomes) == expected


async def test_address_change_cancels_waiting_requests(
    fixture: _Fixture,
) -> None:
    """Guards against sending queued requests to a target's old address.

    The target gets a new port while a request waits for a connection.
    """
    fixture.send(1)
    fixture.target = replace(fixture.target, port=1)
    fixture.send(2)
    outcomes = await fixture.until(2)
    assert _failures(outcomes) == [
        (1, FailureKind.CANCELLED, False),
        (2, FailureKind.CONNECT, False),
    ]
    assert not fixture.server.requests


async def test_refused_connect_fails_waiting_requests(
    fixture: _Fixture,
) -> None:
    """Guards against requests that wait for ever when no process listens."""
    fixture.target = replace(fixture.target, port=1)
    fixture.send(1)
    fixture.send(2)
    outcomes = await fixture.until(2)
    assert _failures(outcomes) == [
        (1, FailureKind.CONNECT, False),
        (2, FailureKind.CONNECT, False),
    ]


async def test_refused_connect_is_reported(fixture: _Fixture) -> None:
    """Guards against missing the restart of a target.

    Without an open connection to the target, a refused connect is the only
    sign of the restart.
    """
    fixture.target = replace(fixture.target, port=1)
    fixture.send(1)
    await fixture.until(1)
    assert fixture.events == [TargetConnectionsLost('t')]


async def test_loss_is_reported_before_outcomes(fixture: _Fixture) -> None:
    """Guards against sending to a restarted target as if it were warm.

    The engine retries as soon as it learns of a failed request. If the closed
    connection were reported only after that, the retry and the queued requests
    could go to the restarted, cold target.
    """
    fixture.server.script = lambda head: b''
    fixture.server.closes = True
    fixture.pool.on_disconnect = fixture.outcomes.append
    fixture.send(1)
    fixture.send(2)
    outcomes = await fixture.until(3)
    assert outcomes[0] == TargetConnectionsLost('t')
    assert _failures(outcomes[1:]) == [
        (2, FailureKind.NO_CONNECTION, False),
        (1, FailureKind.INVALID, True),
    ]


async def test_close_by_this_vm_is_not_a_loss(fixture: _Fixture) -> None:
    """Guards against treating a target as cold after this VM closed connections.

    Only a connection that the target closed is a sign of a restart.
    """
    for attempt_id in (1, 2):
        fixture.send(attempt_id, limit=2)
    await fixture.until(2)
    fixture.server.script = lambda head: b''
    fixture.send(3, limit=2)
    fixture.pool.cancel(3)
    await asyncio.sleep(0)
    assert not fixture.events
    fixture.send(4, limit=2)
    fixture.pool.cancel(4)
    await asyncio.sleep(0)
    assert fixture.events == [TargetConnectionsClosed('t')]


async def test_check_runs_at_the_write(fixture: _Fixture) -> None:
    """Guards against sending a queued request that is no longer allowed (G4, G8).

    A drain, a withdrawal or the deadline may come while the request waits for
    a connection.
    """
    fixture.send(1)
    fixture.denied = FailureKind.DRAINING
    outcomes = await fixture.until(1)
    assert _failures(outcomes) == [(1, FailureKind.DRAINING, False)]
    fixture.denied = None
    fixture.clock.advance(9)
    fixture.send(2)
    assert _failures(outcomes)[1] == (2, FailureKind.TIMEOUT, False)
    assert not fixture.server.requests


async def test_silent_connection_is_closed(fixture: _Fixture) -> None:
    """Guards against a request that is stuck on a dead connection.

    A newer connection receives a response while the older one has been silent
    for longer than the limit (60 ms, with a limit of 50 ms).
    """
    fixture.server.script = lambda head: b''
    fixture.send(1, limit=2)
    await fixture.until_requests(1)
    fixture.server.script = _answer
    fixture.clock.advance(0.06)
    fixture.send(2, limit=2, fresh_connection=True)
    outcomes = await fixture.until(2)
    assert _failures(outcomes[:1]) == [(1, FailureKind.SILENT, True)]
    assert outcomes[1].attempt_id == 2


async def test_connection_within_silence_limit_stays(fixture: _Fixture) -> None:
    """Guards against closing the connection of a request that is only slow.

    The request was sent 40 ms ago, less than the silence limit of 50 ms, when
    a newer connection receives a response.
    """
    fixture.server.script = lambda head: b''
    fixture.send(1, limit=2)
    await fixture.until_requests(1)
    fixture.server.script = _answer
    fixture.clock.advance(0.04)
    fixture.send(2, limit=2, fresh_connection=True)
    outcomes = await fixture.until(1)
    assert [outcome.attempt_id for outcome in outcomes] == [2]


async def test_closed_pool_reports_sent_request_as_possibly_run(
    fixture: _Fixture,
) -> None:
    """Guards against a false `not run` when a connection closes early.

    The pool is closed while only a part of the response has arrived.
    """
    fixture.server.script = lambda head: b'HTTP/1.1 200 OK\r\n'
    fixture.send(1)
    await fixture.until_requests(1)
    fixture.pool.close()
    assert _failures(fixture.outcomes) == [(1, FailureKind.CANCELLED, True)]
