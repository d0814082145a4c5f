"""Messages between VMs: their senders, sizes and malformed datagrams."""

from typing import Any

import orjson
import pytest
from prometheus_client import CollectorRegistry, Counter

from nutmegstep.dispatch.control_events import HousekeepingDue
from nutmegstep.dispatch.effects import SendMessage
from nutmegstep.dispatch.events import Event
from nutmegstep.gateway.vm_messages import MAX_DATAGRAM_BYTES, VmMessages
from nutmegstep.store_watch.vm_registry import VmEntry

_ADDRESS = ('10.0.0.2', 7740)


class _Vm:
    """Messages of one VM, what it sent and which events it dispatched."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.read: list[tuple[str, Any]] = []
        self.registry = CollectorRegistry()
        counter = Counter(
            'messages', 'All.', ('kind', 'outcome'), registry=self.registry
        )
        self.messages = VmMessages(
            self.events.append,
            lambda datagram, address: self.sent.append((datagram, address)),
            counter,
            {'load': self._read},
        )
        self.messages.replace_vms(
            {
                'vm-2': VmEntry('north', '10.0.0.2:7740', 1),
                'vm-3': VmEntry('north', '', 1),
            }
        )

    def counted(self, kind: str, outcome: str) -> float:
        labels = {'kind': kind, 'outcome': outcome}
        return self.registry.get_sample_value('messages_total', labels) or 0

    def _read(self, sender: str, content: Any) -> Event | None:
        self.read.append((sender, content))
        return HousekeepingDue() if content == {'ok': 1} else None


def test_message_reaches_the_known_receivers_and_is_decoded() -> None:
    first, second = _Vm(), _Vm()
    first.messages.send(SendMessage(('vm-2', 'vm-3', 'x'), 'load', {'ok': 1}))
    assert [address for _, address in first.sent] == [_ADDRESS]
    second.messages.receive(first.sent[0][0], _ADDRESS)
    assert second.read == [('vm-2', {'ok': 1})]
    assert second.events == [HousekeepingDue()]
    assert first.counted('load', 'sent') == 1
    assert second.counted('load', 'received') == 1


def test_message_of_an_unknown_sender_is_ignored() -> None:
    vm = _Vm()
    datagram = orjson.dumps({'kind': 'load', 'content': {'ok': 1}})
    vm.messages.receive(datagram, ('10.0.0.2', 7741))
    assert not vm.events
    assert not vm.read
    assert vm.counted('', 'unknown_sender') == 1


@pytest.mark.parametrize(
    'datagram',
    [b'{', b'[]', b'{}', b'{"kind":"other"}', b'{"kind":["load"]}'],
)
def test_malformed_message_is_ignored(datagram: bytes) -> None:
    vm = _Vm()
    vm.messages.receive(datagram, _ADDRESS)
    assert not vm.events
    assert vm.counted('', 'unreadable') == 1


def test_invalid_content_is_counted_under_its_kind() -> None:
    vm = _Vm()
    vm.messages.receive(b'{"kind":"load","content":7}', _ADDRESS)
    assert not vm.events
    assert vm.counted('load', 'unreadable') == 1


def test_too_long_message_is_not_sent() -> None:
    vm = _Vm()
    content = {'text': 'x' * MAX_DATAGRAM_BYTES}
    vm.messages.send(SendMessage(('vm-2',), 'load', content))
    assert not vm.sent
    assert vm.counted('load', 'too_long') == 1
