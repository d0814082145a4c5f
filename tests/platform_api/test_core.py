"""Tests of the client of the object API over TCP connections."""

from collections.abc import AsyncIterator
from datetime import timedelta

import pytest

from nutmegstep.clock import ManualClock
from nutmegstep.platform_api import (
    CallKind,
    ObjectClient,
    PlatformFailureKind,
    VmRecord,
)
from nutmegstep.standins.platform import Outage, PlatformStandIn
from nutmegstep.web import serve_http

_POLL = timedelta(milliseconds=50)
_NAME = 'config/fleet'


@pytest.fixture
def standin() -> PlatformStandIn:
    """Platform stand-in whose clock does not advance."""
    return PlatformStandIn(ManualClock(10))


@pytest.fixture
async def client(standin: PlatformStandIn) -> AsyncIterator[ObjectClient]:
    """Client that is connected to the stand-in and has a short timeout."""
    server = await serve_http(standin.handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    connected = ObjectClient('127.0.0.1', port, timeout=_POLL * 4)
    yield connected
    connected.close()
    server.close()


async def test_conditional_update(client: ObjectClient) -> None:
    """Guards against a write that overwrites a value it has not seen.

    Another writer can change the object between a read and the write.
    """
    first = (await client.put(_NAME, b'1')).unwrap()
    assert (await client.put(_NAME, b'2')).failure().kind is (
        PlatformFailureKind.CONFLICT
    )
    (await client.put(_NAME, b'2', first)).unwrap()
    stale = (await client.put(_NAME, b'3', first)).failure()
    assert stale.kind is PlatformFailureKind.CONFLICT
    assert not stale.may_have_applied
    assert (await client.get(_NAME)).unwrap().document == b'2'
    assert client.calls_by_kind[CallKind.PUT] == 4


async def test_lost_reply_to_write(
    client: ObjectClient,
    standin: PlatformStandIn,
) -> None:
    """Guards against reporting an applied write as not applied.

    The platform can apply a write whose reply is then lost.
    """
    standin.faults.lose_answers = 1
    lost = (await client.put(_NAME, b'1')).failure()
    assert lost.kind is PlatformFailureKind.TIMEOUT
    assert lost.may_have_applied
    assert (await client.get(_NAME)).unwrap().document == b'1'


@pytest.mark.parametrize('outage', [Outage.ERRORS, Outage.SILENT])
async def test_outage(
    client: ObjectClient,
    standin: PlatformStandIn,
    outage: Outage,
) -> None:
    """Guards against wrong failures during an outage and none after it.

    A read never takes effect, whereas a failed delete may have done so. The
    client must work again after the outage.
    """
    standin.faults.outage = outage
    assert not (await client.get(_NAME)).failure().may_have_applied
    assert (await client.delete(_NAME)).failure().may_have_applied
    standin.faults.outage = Outage.NONE
    missing = (await client.get(_NAME)).failure()
    assert missing.kind is PlatformFailureKind.NOT_FOUND


async def test_unreachable_write_was_not_applied() -> None:
    """Guards against reporting a write that was never sent as uncertain.

    If no connection can be opened, the write cannot have taken effect.
    """
    server = await serve_http(PlatformStandIn().handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    failed = (await ObjectClient('127.0.0.1', port).put(_NAME, b'1')).failure()
    assert failed.kind is PlatformFailureKind.UNREACHABLE
    assert not failed.may_have_applied


async def test_watch_and_list_of_vms(
    client: ObjectClient,
    standin: PlatformStandIn,
) -> None:
    """Guards against a watch that misses changes made before it started.

    Also checks that a watch without changes ends empty and that the list of
    VMs is decoded.
    """
    await client.put(_NAME, b'1')
    reply = (await client.watch([_NAME, 'other'], 0)).unwrap()
    assert [changed.name for changed in reply.changed] == [_NAME]
    idle = (await client.watch([_NAME], reply.revision, _POLL)).unwrap()
    assert idle.changed == ()
    assert idle.revision == reply.revision
    vm = VmRecord('vm-1', '127.0.0.1:1', 'domain-1', leaving=True)
    standin.set_vms([vm])
    assert (await client.vms()).unwrap() == (vm,)


async def test_connection_is_reused(client: ObjectClient) -> None:
    """Guards against opening a new connection for each call."""
    await client.get(_NAME)
    kept = client._transport._idle[0]
    await client.get(_NAME)
    assert client._transport._idle == [kept]
