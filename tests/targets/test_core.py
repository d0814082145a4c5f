"""Tests of the pool against a scripted server on a loopback address."""

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
    """Answers with `script`; records the requests of each connection."""

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
    """Guards against a new connection for each request."""
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
async def test_invalid_answer_closes(fixture: _Fixture, script) -> None:
    """Guards against delivering a crossed or broken answer (G5)."""
    fixture.server.script = script
    fixture.send(1)
    outcomes = await fixture.until(1)
    assert _failures(outcomes) == [(1, FailureKind.INVALID, True)]
    fixture.server.script = _answer
    fixture.send(2)
    await fixture.until(2)
    assert fixture.server.requests[1][0] == 2


async def test_cancel_tells_whether_a_byte_was_sent(fixture: _Fixture) -> None:
    """Guards against an untrue `not run` and against reuse after a cancel."""
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


async def test_queue_is_bounded(fixture: _Fixture) -> None:
    """Guards against a queue that grows without end behind a slow target."""
    for attempt_id in (1, 2, 3):
        fixture.send(attempt_id)
    expected = [(3, FailureKind.NO_CONNECTION, False)]
    assert _failures(fixture.outcomes) == expected


async def test_moved_target_cancels_waiting(fixture: _Fixture) -> None:
    """Guards against queued work that goes to a target's old address."""
    fixture.send(1)
    fixture.target = replace(fixture.target, port=1)
    fixture.send(2)
    outcomes = await fixture.until(2)
    assert _failures(outcomes) == [
        (1, FailureKind.CANCELLED, False),
        (2, FailureKind.CONNECT, False),
    ]
    assert not fixture.server.requests


async def test_refused_connect_did_not_run(fixture: _Fixture) -> None:
    """Guards against waiting requests that hang when nobody listens."""
    fixture.target = replace(fixture.target, port=1)
    fixture.send(1)
    fixture.send(2)
    outcomes = await fixture.until(2)
    assert _failures(outcomes) == [
        (1, FailureKind.CONNECT, False),
        (2, FailureKind.CONNECT, False),
    ]


async def test_refused_connect_is_reported(fixture: _Fixture) -> None:
    """Guards against a restart that is not noticed without a connection."""
    fixture.target = replace(fixture.target, port=1)
    fixture.send(1)
    await fixture.until(1)
    assert fixture.events == [TargetConnectionsLost('t')]


async def test_loss_is_reported_before_outcomes(fixture: _Fixture) -> None:
    """Guards against retries and queued work on a target that restarted."""
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


async def test_own_close_is_no_loss(fixture: _Fixture) -> None:
    """Guards against cold use of a target because this VM was idle."""
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


async def test_check_happens_at_the_write(fixture: _Fixture) -> None:
    """Guards against sending queued work after a withdrawal (G4, G8)."""
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
    """Guards against a dead connection that holds a request for good."""
    fixture.server.script = lambda head: b''
    fixture.send(1, limit=2)
    await fixture.until_requests(1)
    fixture.server.script = _answer
    fixture.clock.advance(0.06)
    fixture.send(2, limit=2, fresh_connection=True)
    outcomes = await fixture.until(2)
    assert _failures(outcomes[:1]) == [(1, FailureKind.SILENT, True)]
    assert outcomes[1].attempt_id == 2


async def test_slow_but_not_silent_connection_stays(fixture: _Fixture) -> None:
    """Guards against cutting a request that is younger than the limit."""
    fixture.server.script = lambda head: b''
    fixture.send(1, limit=2)
    await fixture.until_requests(1)
    fixture.server.script = _answer
    fixture.clock.advance(0.04)
    fixture.send(2, limit=2, fresh_connection=True)
    outcomes = await fixture.until(1)
    assert [outcome.attempt_id for outcome in outcomes] == [2]


async def test_reset_may_have_run(fixture: _Fixture) -> None:
    """Guards against an untrue `not run` when the target disappears."""
    fixture.server.script = lambda head: b'HTTP/1.1 200 OK\r\n'
    fixture.send(1)
    await fixture.until_requests(1)
    fixture.pool.close()
    assert _failures(fixture.outcomes) == [(1, FailureKind.CANCELLED, True)]
