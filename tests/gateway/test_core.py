"""Order of replies, timers and effects in one process."""

import asyncio
import socket
import time
from random import Random

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch import DispatchState
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import (
    ConfigurationChanged,
    TargetReplied,
    TargetsListed,
)
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

_PAST_HEDGE = 0.08


def _gateway() -> tuple[Gateway, list[SendRequest]]:
    terms = Dispatcher().state.terms
    state = DispatchState('north', terms, Random(1), started=-100)
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
    """Guards against hedges, and reports, of targets that have answered while
    this VM was busy: a slow VM would hedge all shards of a query.
    """
    gateway, sends = _gateway()
    loop = asyncio.get_running_loop()
    busy, kernel_busy = socket.socketpair()
    target, kernel_target = socket.socketpair()
    late = len(SHARDS) - 1

    def be_busy_again() -> None:
        loop.remove_reader(busy)
        kernel_target.send(b'x')

    def read_reply() -> None:
        loop.remove_reader(target)
        answer = TargetReplied(sends[late].send_id, reply(b'r' * 16))
        gateway.dispatch(answer)

    loop.add_reader(busy, be_busy_again)
    loop.add_reader(target, read_reply)
    answered = asyncio.create_task(gateway.handle(_sweep()))
    await asyncio.sleep(0)
    for send in sends[:late]:
        gateway.dispatch(TargetReplied(send.send_id, reply(b'r' * 16)))
    # The timer is due and the first socket is readable in the same pass.
    kernel_busy.send(b'x')
    time.sleep(_PAST_HEDGE)
    assert (await answered).status == 200
    assert len(sends) == len(SHARDS)
    for one in (busy, kernel_busy, target, kernel_target):
        one.close()
