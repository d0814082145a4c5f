"""Targets whose responses take many parsing steps for few bytes."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import SendFailureKind
from nutmegstep.gateway.codec import RawReply
from nutmegstep.gateway.exchange import SendOutcome
from nutmegstep.gateway.pool import ConnectionPool
from nutmegstep.platform.wire import CODEC
from nutmegstep.web.turns import EVENTS_PER_TURN
from tests.gateway.sends import send_to
from tests.turns import ParsingCounter

_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_TINY = b'1\r\nz\r\n'
_ENDLESS = (_CHUNKED, _TINY * 10_000)
_RECORDS = 4000
_SOUND = (_CHUNKED + b'10\r\nsixteen bytes!!!\r\n' * _RECORDS + b'0\r\n\r\n',)
_HEALTHY = (b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody',)
_MANY_HEADERS = (b'HTTP/1.1 200 OK\r\n' + b'a:\r\n' * 3000 + b'\r\n',)
_SECONDS = 30.0
_MOST_EVENTS = 20_000
"""Parsing steps that a response may take; those of half a second."""
_OF_TWO_SLICES = 3 * EVENTS_PER_TURN
"""Parsing steps of a turn in which one connection begins and another goes on,
with those that find that nothing has come."""


class _Target:
    """Server that answers each request with the same pieces; the last of them
    without end if there is more than one.
    """

    def __init__(self, pieces: tuple[bytes, ...]) -> None:
        self._pieces = pieces
        self._server: asyncio.Server
        self._tasks: set[asyncio.Task[object]] = set()

    async def start(self) -> tuple[str, int]:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def stop(self) -> None:
        """Stop listening, and wait until the connections are closed."""
        self._server.close()
        async with asyncio.timeout(_SECONDS):
            await asyncio.gather(*self._tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                await self._answer(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self._pieces[0])
        while len(self._pieces) > 1:
            writer.write(self._pieces[-1])
            await writer.drain()
            await asyncio.sleep(0)


class _Caller:
    """Connection pool that asks targets and records the outcomes."""

    def __init__(self) -> None:
        self.outcome_by_id: dict[int, SendOutcome] = {}
        self.pool = ConnectionPool(SystemClock(), CODEC, self._record)
        self._targets: list[_Target] = []

    async def ask(self, *answers: tuple[bytes, ...]) -> list[SendOutcome]:
        """Send a request to a target for each answer; return the outcomes."""
        self._targets = [_Target(pieces) for pieces in answers]
        for number, target in enumerate(self._targets):
            self.pool.send(send_to(number, await target.start(), _SECONDS))
        async with asyncio.timeout(_SECONDS):
            while len(self.outcome_by_id) < len(answers):
                await asyncio.sleep(0)
        return [outcome for _, outcome in sorted(self.outcome_by_id.items())]

    async def stop(self) -> None:
        """Close the connections and the targets."""
        self.pool.close()
        for target in self._targets:
            await target.stop()

    def _record(self, effect: SendRequest, outcome: SendOutcome) -> None:
        self.outcome_by_id[effect.send_id] = outcome


@pytest.fixture
async def caller() -> AsyncIterator[_Caller]:
    """Return a connection pool."""
    made = _Caller()
    yield made
    await made.stop()


async def test_one_connection_takes_part_of_a_turn(
    caller: _Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that does nothing else while it parses a body without
    end in chunks of one byte.
    """
    async with ParsingCounter(monkeypatch) as counter:
        outcomes = await caller.ask(_ENDLESS)
    assert outcomes == [SendFailureKind.INVALID]
    assert counter.most_in_a_turn <= _OF_TWO_SLICES
    assert caller.pool.memory.held == 0


async def test_endless_chunks_end_before_their_bytes_are_many(
    caller: _Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a body whose bytes stay far below the limit while its chunks
    take the processor for as long as the send may last.
    """
    async with ParsingCounter(monkeypatch) as counter:
        outcomes = await caller.ask(_ENDLESS)
    assert outcomes == [SendFailureKind.INVALID]
    assert counter.total <= _MOST_EVENTS


async def test_sound_targets_beside_endless_chunks(caller: _Caller) -> None:
    """Guards against sound answers that wait for those without end."""
    outcomes = await caller.ask(*[_ENDLESS] * 6, *[_HEALTHY] * 6)
    assert set(tuple(caller.outcome_by_id)[:6]) == set(range(6, 12))
    assert outcomes[:6] == [SendFailureKind.INVALID] * 6
    assert all(
        isinstance(one, RawReply) and one.body == b'body'
        for one in outcomes[6:]
    )


async def test_sound_body_in_small_chunks_is_read(caller: _Caller) -> None:
    """Guards against refusing a body whose records come in a chunk each."""
    outcomes = await caller.ask(_SOUND)
    assert isinstance(outcomes[0], RawReply)
    assert outcomes[0].body == b'sixteen bytes!!!' * _RECORDS


async def test_connection_is_read_again_after_a_long_answer(
    caller: _Caller,
) -> None:
    """Guards against a kept connection that stays paused."""
    outcomes = await caller.ask(_SOUND)
    target = caller._targets[0]
    address = target._server.sockets[0].getsockname()
    caller.outcome_by_id.clear()
    caller.pool.send(send_to(0, address, _SECONDS))
    async with asyncio.timeout(_SECONDS):
        while not caller.outcome_by_id:
            await asyncio.sleep(0)
    assert caller.outcome_by_id[0] == outcomes[0]
    assert caller.pool.connections_opened == 1


async def test_response_with_thousands_of_headers(caller: _Caller) -> None:
    """Guards against a head whose headers are each handled on the whole way to
    the caller.
    """
    assert await caller.ask(_MANY_HEADERS) == [SendFailureKind.INVALID]
