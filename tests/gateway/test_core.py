"""Order in which a busy gateway process handles replies and timers."""

import asyncio
import socket
import time
from random import Random

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch import DispatchState
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    TargetsListed,
)
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import TargetReplied
from nutmegstep.gateway import Gateway, GatewayMetrics
from nutmegstep.platform.wire import CODEC
from nutmegstep.web import HttpRequest
from tests.dispatch.conftest import (
    SHARDS,
    Dispatcher,
    configuration,
    records,
    reply,
)

_LONGER_THAN_HEDGE_DELAY_S = 0.08


def _gateway() -> tuple[Gateway, list[SendRequest]]:
    limits = Dispatcher().state.limits
    state = DispatchState('north', limits, Random(1), started=-100)
    gateway = Gateway(state, SystemClock(), CODEC, GatewayMetrics())
    sends: list[SendRequest] = []
    gateway.pool.send = sends.append  # type: ignore[method-assign]
    gateway.dispatch(ConfigurationChanged(configuration()))
    gateway.dispatch(TargetsListed(records()))
    return gateway, sends


def _sweep() -> HttpRequest:
    items = ((b'host', b'shop.example'),)
    headers = {'host': 'shop.example', 'x-nutmegstep-deadline-ms': '2000'}
    return HttpRequest('GET', '/sweep/x', {}, headers, b'', b'/sweep/x', items)


async def test_reply_that_has_arrived_is_not_hedged() -> None:
    """Guards against hedging targets that have answered, and reporting them as
    slow. A busy process may find the hedge timer due before it has read the
    replies that arrived meanwhile, and would hedge all shards of a query.
    """
    gateway, sends = _gateway()
    loop = asyncio.get_running_loop()
    first, first_peer = socket.socketpair()
    second, second_peer = socket.socketpair()
    last = len(SHARDS) - 1

    def read_first() -> None:
        loop.remove_reader(first)
        second_peer.send(b'x')

    def read_second() -> None:
        loop.remove_reader(second)
        answer = TargetReplied(sends[last].send_id, reply(b'r' * 16))
        gateway.dispatch(answer)

    loop.add_reader(first, read_first)
    loop.add_reader(second, read_second)
    answered = asyncio.create_task(gateway.handle(_sweep()))
    await asyncio.sleep(0)
    for send in sends[:last]:
        gateway.dispatch(TargetReplied(send.send_id, reply(b'r' * 16)))
    # The timer is due and the first socket readable in one iteration of the
    # event loop; the second socket becomes readable in the next one.
    first_peer.send(b'x')
    time.sleep(_LONGER_THAN_HEDGE_DELAY_S)
    assert (await answered).status == 200
    assert len(sends) == len(SHARDS)
    for one in (first, first_peer, second, second_peer):
        one.close()
