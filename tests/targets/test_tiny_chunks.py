"""Targets of the own interface whose responses take many parsing steps."""

import asyncio

import pytest

from nutmegstep.clock import ManualClock
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind, TargetFailed
from nutmegstep.model import Target
from nutmegstep.targets import TargetPool
from nutmegstep.targets.wire import Outcome
from nutmegstep.web.turns import EVENTS_PER_TURN
from tests.turns import ParsingCounter

_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_TINY = b'1\r\nz\r\n' * 10_000
_SECONDS = 30.0


async def _flood(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(_HEAD)
    try:
        while True:
            writer.write(_TINY)
            await writer.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        writer.close()


async def test_endless_chunks_take_part_of_a_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that does nothing else while it parses a body without
    end in chunks of one byte.
    """
    server = await asyncio.start_server(_flood, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    pool = TargetPool(ManualClock())
    outcomes: list[Outcome] = []
    send = SendToTarget(1, 1, 't', 's', 41, b'{}', 9, '')
    async with ParsingCounter(monkeypatch) as counter:
        target = Target('t', host, port, 'd', 3, 1, 9)
        pool.send(send, target, 1, outcomes.append)
        async with asyncio.timeout(_SECONDS):
            while not outcomes:
                await asyncio.sleep(0)
    assert outcomes == [TargetFailed(1, FailureKind.INVALID, True)]
    assert counter.most_in_a_turn <= 2 * EVENTS_PER_TURN
    pool.close()
    server.close()
    await asyncio.sleep(0.1)
