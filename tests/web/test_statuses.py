"""Status codes that HTTP does not define, in what the three clients read."""

import asyncio
from collections.abc import AsyncIterator

import h11
import pytest

from nutmegstep.clock import ManualClock, SystemClock
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import SendFailureKind
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind, TargetFailed
from nutmegstep.gateway.exchange import SendOutcome
from nutmegstep.gateway.pool import ConnectionPool
from nutmegstep.model import Target
from nutmegstep.platform.wire import CODEC
from nutmegstep.platform_api.connection import HttpCall, PlatformConnection
from nutmegstep.targets import TargetPool
from nutmegstep.targets.wire import Outcome
from tests.gateway.sends import send_to

_UNDEFINED = ('000', '001', '099', '600', '999')
_SECONDS = 3.0


@pytest.fixture(params=_UNDEFINED)
async def address(
    request: pytest.FixtureRequest,
) -> AsyncIterator[tuple[str, int]]:
    """Return the address of a server whose answers have such a status."""
    answer = f'HTTP/1.1 {request.param} X\r\ncontent-length: 0\r\n\r\n'

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer.encode())
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    yield server.sockets[0].getsockname()[:2]
    server.close()


async def test_gateway_takes_no_such_answer(address: tuple[str, int]) -> None:
    """Guards against an answer without a valid status that is passed on; the
    request may have run.
    """
    outcomes = asyncio.Queue[SendOutcome]()

    def record(effect: SendRequest, outcome: SendOutcome) -> None:
        outcomes.put_nowait(outcome)

    pool = ConnectionPool(SystemClock(), CODEC, record)
    pool.send(send_to(1, address, _SECONDS))
    async with asyncio.timeout(_SECONDS):
        assert await outcomes.get() is SendFailureKind.INVALID
    pool.close()


async def test_own_interface_takes_no_such_answer(
    address: tuple[str, int],
) -> None:
    """Guards against the same in the own interface."""
    outcomes = asyncio.Queue[Outcome]()
    pool = TargetPool(ManualClock())
    send = SendToTarget(1, 1, 't', 's', 41, b'{}', 9, '')
    target = Target('t', *address, 'd', 3, 1, 9)
    pool.send(send, target, 1, outcomes.put_nowait)
    async with asyncio.timeout(_SECONDS):
        failed = await outcomes.get()
    assert failed == TargetFailed(1, FailureKind.INVALID, True)
    pool.close()


async def test_store_gives_no_such_answer(address: tuple[str, int]) -> None:
    """Guards against the same in responses of the store and of relays."""
    connection = await PlatformConnection.open(*address)
    with pytest.raises(h11.RemoteProtocolError):
        await connection.exchange(HttpCall('GET', '/'))
    connection.close()
