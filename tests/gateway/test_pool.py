"""Sends over pooled connections: deadlines, limits and invalid responses."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from nutmegstep.clock import SystemClock
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import RoutedRequest, SendFailureKind
from nutmegstep.gateway.codec import RawReply
from nutmegstep.gateway.exchange import SendOutcome
from nutmegstep.gateway.pool import ConnectionPool
from nutmegstep.platform.wire import CODEC
from tests.platform.standin import Seen, TargetStandIn, respond

_BODY = b'r' * 16


class _Sender:
    """A connection pool and one target."""

    def __init__(self) -> None:
        self.target = TargetStandIn(respond())
        self.clock = SystemClock()
        self.outcomes: asyncio.Queue[SendOutcome] = asyncio.Queue()
        self.pool = ConnectionPool(
            self.clock,
            CODEC,
            lambda effect, outcome: self.outcomes.put_nowait(outcome),
        )
        self._next_id = 0

    def send(
        self,
        seconds: float = 1,
        limit: int = 4,
        *,
        is_repeatable: bool = True,
        body: bytes = b'',
    ) -> int:
        self._next_id += 1
        now = self.clock.monotonic()
        request = RoutedRequest(
            self._next_id,
            f'caller-{self._next_id}',
            b'POST' if body else b'GET',
            b'/a/b?c=d',
            'shop.example',
            '/a/b',
            (
                (b'host', b'shop.example'),
                (
                    b'x-nutmegstep-attempt-id',
                    b'caller-%d' % self._next_id,
                ),
            ),
            body,
            seconds,
            now,
        )
        host, port = self.target.address
        record = TargetRecord(
            'i-1',
            'shard',
            host,
            port,
            'north',
            3,
            is_draining=False,
            cold_until=0,
            started_ms=1,
        )
        self.pool.send(
            SendRequest(
                self._next_id,
                request,
                record,
                now + seconds,
                limit,
                is_repeatable,
            ),
        )
        return self._next_id

    async def outcome(self) -> SendOutcome:
        async with asyncio.timeout(3):
            return await self.outcomes.get()


@pytest.fixture
async def sender() -> AsyncIterator[_Sender]:
    """Return a connection pool and a target that answers."""
    created = _Sender()
    await created.target.start()
    yield created
    created.pool.close()
    created.target.stop()


async def test_request_reaches_the_target_unchanged(sender: _Sender) -> None:
    """Guards against a changed path, query, body or identifier."""
    sender.send(body=b'payload')
    outcome = await sender.outcome()
    seen = sender.target.seen[0]
    assert isinstance(outcome, RawReply)
    assert seen.head.startswith(b'POST /a/b?c=d HTTP/1.1\r\n')
    assert seen.body == b'payload'
    assert seen.headers['x-nutmegstep-expect-instance'] == 'i-1'
    assert 0 < int(seen.headers['x-nutmegstep-deadline-ms']) <= 1000


async def test_connection_is_reused(sender: _Sender) -> None:
    """Guards against a new connection for each request."""
    for _ in range(3):
        sender.send()
        await sender.outcome()
    assert sender.target.connections == 1


async def test_new_connection_names_the_target(sender: _Sender) -> None:
    """Guards against work by another process that took over the address of a
    target: a new connection has to name the target that must answer.
    """
    sender.target.closes_after_answer = True
    for _ in range(3):
        sender.send()
        await sender.outcome()
        await asyncio.sleep(0.05)
    named = [
        seen.headers.get('x-nutmegstep-expect-instance')
        for seen in sender.target.seen
    ]
    assert named == ['i-1'] * 3


async def test_target_is_named_until_it_has_answered(sender: _Sender) -> None:
    """Guards against a request without the name of its target on a connection
    that has only answered 421, and so may lead to another target.
    """
    sender.target.script = respond(status=421)
    for _ in range(2):
        sender.send()
        await sender.outcome()
    sender.target.script = respond()
    for _ in range(2):
        sender.send()
        await sender.outcome()
    named = [
        'x-nutmegstep-expect-instance' in seen.headers
        for seen in sender.target.seen
    ]
    assert named == [True, True, True, False]
    assert sender.target.connections == 1


async def test_shared_head_belongs_to_one_request(sender: _Sender) -> None:
    """Guards against the identifier of an earlier request. The sends of a query
    share one request head, which the next request must not reuse.
    """
    sent = []
    for _ in range(4):
        sent.append(sender.send())
        await sender.outcome()
    ids = [
        seen.headers['x-nutmegstep-attempt-id'] for seen in sender.target.seen
    ]
    assert ids == [f'caller-{number}' for number in sent]


async def test_deadline_is_never_longer_than_the_time_left(
    sender: _Sender,
) -> None:
    """Guards against a deadline that is rounded up: a target would work on
    after the caller has stopped waiting.
    """
    for seconds in (0.05, 0.2345, 0.9):
        sender.send(seconds)
        await sender.outcome()
    stated = [
        int(seen.headers['x-nutmegstep-deadline-ms'])
        for seen in sender.target.seen
    ]
    left = (50, 234, 900)
    assert all(
        one <= most and one >= 0.8 * most
        for one, most in zip(stated, left, strict=True)
    )


async def test_non_idempotent_request_takes_a_new_connection(
    sender: _Sender,
) -> None:
    """Guards against a non-idempotent request on an idle connection. The target
    may close it meanwhile, and it is unknown then whether the request ran.
    """
    sender.send()
    await sender.outcome()
    sender.send(is_repeatable=False)
    await sender.outcome()
    assert sender.target.connections == 2


def _truncated(seen: Seen) -> bytes:
    return respond()(seen)[:-5]


def _garbage(seen: Seen) -> bytes:
    return b'\x00\x01garbage without sense\r\n\r\n'


def _without_length(seen: Seen) -> bytes:
    return b'HTTP/1.1 200 OK\r\n\r\n%b' % _BODY


@pytest.mark.parametrize('script', [_truncated, _garbage])
async def test_invalid_response_is_a_failure(
    sender: _Sender,
    script: object,
) -> None:
    """Guards against a truncated response, or bytes that are not HTTP, taken
    for a complete response.
    """
    sender.target.script = script  # type: ignore[assignment]
    sender.target.closes_after_answer = True
    sender.send()
    assert await sender.outcome() is SendFailureKind.INVALID


async def test_response_without_length_ends_with_its_connection(
    sender: _Sender,
) -> None:
    """Guards against rejecting a valid response that states no length; its
    body ends when the target closes the connection.
    """
    sender.target.script = _without_length
    sender.target.closes_after_answer = True
    sender.send()
    outcome = await sender.outcome()
    assert isinstance(outcome, RawReply)
    assert outcome.body == _BODY


async def test_surplus_response_is_not_taken_for_the_next_request(
    sender: _Sender,
) -> None:
    """Guards against a second response to one request that is taken for the
    response to the next request on the connection.
    """
    script = respond()
    sender.target.script = lambda seen: script(seen) * 2
    sender.send()
    await sender.outcome()
    await asyncio.sleep(0.05)
    sender.target.script = script
    sender.send()
    outcome = await sender.outcome()
    assert isinstance(outcome, RawReply)
    assert dict(outcome.headers)[b'x-nutmegstep-attempt-id'] == b'caller-2'


async def test_closed_connection_may_have_run(sender: _Sender) -> None:
    """Guards against telling a caller that its request did not run, when the
    target read it and closed the connection without a response.
    """
    sender.target.script = lambda seen: b''
    sender.send()
    outcome = await sender.outcome()
    assert outcome is SendFailureKind.NO_RESPONSE
    assert outcome.may_have_run


async def test_response_that_has_begun_is_no_missing_response(
    sender: _Sender,
) -> None:
    """Guards against taking a target that broke off its response for one that
    closed the connection without any.
    """
    sender.target.script = lambda seen: b'HTTP/1.1 200'
    sender.target.closes_after_answer = True
    sender.send()
    assert await sender.outcome() is SendFailureKind.INVALID


async def test_refused_connection_has_not_run(sender: _Sender) -> None:
    """Guards against giving up a non-idempotent request that cannot have run,
    because its connection was refused.
    """
    sender.target.stop()
    sender.send()
    assert await sender.outcome() is SendFailureKind.CONNECT


async def test_silence_ends_with_the_deadline(sender: _Sender) -> None:
    """Guards against a send that waits beyond its deadline for a target that
    does not answer.
    """
    sender.target.script = None
    sender.send(seconds=0.1)
    assert await sender.outcome() is SendFailureKind.TIMEOUT


async def test_cancelled_send_closes_its_connection(sender: _Sender) -> None:
    """Guards against a target that works on for a caller that disconnected; it
    stops when its connection is closed.
    """
    sender.target.script = None
    send_id = sender.send()
    await asyncio.sleep(0.05)
    sender.pool.cancel(send_id)
    assert await sender.outcome() is SendFailureKind.CANCELLED
    await asyncio.sleep(0.05)
    assert sender.target.disconnects == 1


async def test_limit_holds_sends_back(sender: _Sender) -> None:
    """Guards against more connections than the target accepts."""
    for _ in range(12):
        sender.send(limit=2)
    for _ in range(12):
        assert isinstance(await sender.outcome(), RawReply)
    assert sender.target.connections <= 2


async def test_send_cancelled_while_it_waits_is_reported_once(
    sender: _Sender,
) -> None:
    """Guards against a cancelled send that waited for a connection and is never
    reported, or is sent nevertheless.
    """
    sender.target.script = None
    sender.send(limit=1)
    waiting = sender.send(limit=1)
    sender.pool.cancel(waiting)
    assert await sender.outcome() is SendFailureKind.NOT_WRITTEN
    await asyncio.sleep(0.05)
    assert len(sender.target.seen) == 1


async def test_waiting_send_is_returned_unwritten(sender: _Sender) -> None:
    """Guards against a request that is sent to a target after it has said that
    it wants none, as it waited for a connection.
    """
    sender.target.script = None
    sender.send(limit=1)
    await asyncio.sleep(0.1)
    sender.send(limit=1)
    sender.pool.return_sends('i-1')
    assert await sender.outcome() is SendFailureKind.NOT_WRITTEN
    assert len(sender.target.seen) == 1
