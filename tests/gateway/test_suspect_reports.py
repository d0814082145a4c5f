"""Reports between neighbours: batches, malformed datagrams and failures."""

import asyncio
import socket
from random import Random

import orjson
import pytest
from prometheus_client import CollectorRegistry, Counter

from nutmegstep.dispatch.control_events import TargetsSuspected
from nutmegstep.gateway.suspect_reports import SuspectReportExchange

_DELIVERY_TIME_S = 0.1


class _Vm:
    """A report exchange on a loopback port and what it received."""

    def __init__(self) -> None:
        self.received: list[TargetsSuspected] = []
        self.registry = CollectorRegistry()
        counter = Counter(
            'reports', 'All.', ('outcome',), registry=self.registry
        )
        self.exchange = SuspectReportExchange(
            self.received.append, Random(1), counter
        )
        self.address = ''

    async def start(self) -> None:
        port = _free_port()
        await self.exchange.open(('127.0.0.1', port))
        self.address = f'127.0.0.1:{port}'

    def counted(self, outcome: str) -> float:
        labels = {'outcome': outcome}
        return self.registry.get_sample_value('reports_total', labels) or 0


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


async def _two_neighbours() -> tuple[_Vm, _Vm]:
    first, second = _Vm(), _Vm()
    await first.start()
    await second.start()
    first.exchange.replace_neighbours([second.address, ''])
    second.exchange.replace_neighbours([first.address])
    return first, second


async def _send(vm: _Vm, content: bytes) -> None:
    host, _, port = vm.address.partition(':')
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(content, (host, int(port)))
    await asyncio.sleep(_DELIVERY_TIME_S)


async def test_reports_of_one_query_share_a_datagram() -> None:
    """Guards against a datagram for each target when a query waits for many."""
    first, second = await _two_neighbours()
    for target_id in ('i-1', 'i-2', 'i-1'):
        first.exchange.report(target_id)
    await asyncio.sleep(_DELIVERY_TIME_S)
    assert second.received == [TargetsSuspected(('i-1', 'i-2'), '127.0.0.1')]
    assert first.counted('sent') == 1
    first.exchange.close()
    second.exchange.close()


@pytest.mark.parametrize(
    'content',
    [b'', b'\xff', b'{}', b'[1]', orjson.dumps(['i-1'] * 65)],
)
async def test_unreadable_datagram_changes_nothing(content: bytes) -> None:
    """Guards against a malformed datagram, for example of another program, that
    is taken for a report or stops the exchange.
    """
    first, second = await _two_neighbours()
    await _send(second, content)
    assert not second.received
    assert second.counted('unreadable') == 1
    await _send(second, b'["i-1"]')
    assert second.received == [TargetsSuspected(('i-1',), '127.0.0.1')]
    first.exchange.close()
    second.exchange.close()


async def test_report_of_an_unknown_sender_is_ignored() -> None:
    """Guards against acting on reports of hosts that are not neighbours."""
    vm = _Vm()
    await vm.start()
    await _send(vm, b'["i-1"]')
    assert not vm.received
    assert vm.counted('unknown_sender') == 1
    vm.exchange.close()


async def test_unreachable_neighbour_does_not_stop_reports() -> None:
    """Guards against an exchange that stops sending to all neighbours after a
    datagram to one of them could not be delivered.
    """
    first, second = await _two_neighbours()
    first.exchange.replace_neighbours(
        [f'127.0.0.1:{_free_port()}', second.address],
    )
    for _ in range(3):
        first.exchange.report('i-1')
        await asyncio.sleep(_DELIVERY_TIME_S)
    assert len(second.received) == 3
    first.exchange.close()
    second.exchange.close()


async def test_port_in_use_only_disables_reports() -> None:
    """Guards against a process that does not start because another one uses
    its UDP port.
    """
    first, second = await _two_neighbours()
    host, _, port = first.address.partition(':')
    late = _Vm()
    await late.exchange.open((host, int(port)))
    late.exchange.replace_neighbours([second.address])
    late.exchange.report('i-1')
    await asyncio.sleep(_DELIVERY_TIME_S)
    assert not second.received
    for vm in (first, second, late):
        vm.exchange.close()
