"""Targets that send bytes without end, until the connection is closed."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import cast

import pytest

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import SendFailureKind
from nutmegstep.gateway.codec import RawReply
from nutmegstep.gateway.exchange import SendOutcome
from nutmegstep.gateway.pool import ConnectionPool
from nutmegstep.platform.wire import CODEC
from tests.endless import ENDLESS, flood
from tests.gateway.sends import send_to

_HEALTHY = 'healthy'
_HEALTHY_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody'
_TARGETS = 30
_MAX_HELD_BYTES = 30 * 1024 * 1024
"""Most that the targets may take together of the 200 MB of a small VM."""
_SECONDS = 3.0


class _Target:
    """Server that answers each request with bytes without end."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.is_closed = asyncio.Event()
        self.address = ('', 0)
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        if self.kind == _HEALTHY:
            writer.write(_HEALTHY_ANSWER)
        else:
            with suppress(ConnectionError):
                await flood(self.kind, writer)
            self.is_closed.set()
        writer.close()


class _FastWriter:
    """Connection whose kernel takes all bytes at once, for some blocks."""

    def __init__(self) -> None:
        self.blocks = 0

    def write(self, block: bytes) -> None:
        """Take the bytes."""

    async def drain(self) -> None:
        """Return at once; fail after ten blocks."""
        self.blocks += 1
        if self.blocks == 10:
            raise ConnectionResetError


class _Caller:
    """Connection pool that records the outcome of each send."""

    def __init__(self) -> None:
        self.outcome_by_id: dict[int, SendOutcome] = {}
        self.most_held = 0
        self.pool = ConnectionPool(SystemClock(), CODEC, self._record)

    async def ask(self, targets: list[_Target]) -> None:
        """Send a request to each target and wait for all outcomes."""
        for number, target in enumerate(targets):
            self.pool.send(send_to(number, target.address, _SECONDS))
        async with asyncio.timeout(_SECONDS * 3):
            while len(self.outcome_by_id) < len(targets):
                self.most_held = max(self.most_held, self.pool.memory.held)
                await asyncio.sleep(0)

    def _record(self, effect: SendRequest, outcome: SendOutcome) -> None:
        self.outcome_by_id[effect.send_id] = outcome


@pytest.fixture
async def caller() -> AsyncIterator[_Caller]:
    """Return a connection pool."""
    made = _Caller()
    yield made
    made.pool.close()


async def test_endless_target_lets_its_event_loop_turn() -> None:
    """Guards against a stand-in that writes until the deadlines of the tests,
    because the kernel takes its bytes at once, and no reader runs meanwhile.
    """
    turns: list[int] = []
    writer = _FastWriter()
    loop = asyncio.get_running_loop()
    loop.call_soon(lambda: turns.append(writer.blocks))
    with pytest.raises(ConnectionResetError):
        await flood('length', cast(asyncio.StreamWriter, writer))
    assert turns == [1]


@pytest.mark.parametrize('kind', ENDLESS)
async def test_endless_response_ends_as_a_failure(
    caller: _Caller, kind: str
) -> None:
    """The connection is closed long before the send expires, and the request
    may have run.
    """
    target = _Target(kind)
    await target.start()
    loop = asyncio.get_running_loop()
    started = loop.time()
    await caller.ask([target])
    assert loop.time() - started < _SECONDS / 2
    assert caller.outcome_by_id[0] is SendFailureKind.INVALID
    await asyncio.wait_for(target.is_closed.wait(), _SECONDS)
    assert caller.pool.memory.held == 0
    target.stop()


async def test_many_endless_targets_beside_healthy_ones(
    caller: _Caller,
) -> None:
    """Guards against a VM that exceeds its memory, or loses the responses of
    healthy targets, as many targets send without end at once.
    """
    kinds = ['length'] * _TARGETS + [_HEALTHY] * _TARGETS
    targets = [_Target(kind) for kind in kinds]
    for target in targets:
        await target.start()
    await caller.ask(targets)
    endless = [caller.outcome_by_id[number] for number in range(_TARGETS)]
    healthy = [
        caller.outcome_by_id[number] for number in range(_TARGETS, len(targets))
    ]
    assert set(endless) == {SendFailureKind.INVALID}
    assert all(
        isinstance(one, RawReply) and one.body == b'body' for one in healthy
    )
    assert caller.most_held <= _MAX_HELD_BYTES
    for target in targets:
        target.stop()
