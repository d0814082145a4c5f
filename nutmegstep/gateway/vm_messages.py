"""Exchanges messages of several kinds between all VMs.

Messages are JSON objects in UDP datagrams, on the socket of the suspect reports.
One that is lost is not repeated here, and a VM that is unreachable delays no
other. They are accepted from the addresses in the VMs' registry entries only.
"""

import logging
from collections.abc import Callable, Mapping
from typing import Any, Final

import orjson
from prometheus_client import Counter

from nutmegstep.dispatch.effects import SendMessage
from nutmegstep.dispatch.events import Event
from nutmegstep.settings.fields import read_address
from nutmegstep.store_watch.vm_registry import VmEntry

__all__ = ['MAX_DATAGRAM_BYTES', 'ReadMessage', 'VmMessages']

_LOG: Final = logging.getLogger(__name__)
MAX_DATAGRAM_BYTES: Final = 1400
"""Longest datagram, in bytes, that fits into one packet."""

_Address = tuple[str, int]
ReadMessage = Callable[[str, Any], Event | None]
"""Decodes a message into an event of the dispatcher. Takes the name of the VM that
has sent it and its content; returns None if the content is invalid."""


class VmMessages:
    """Sends the messages of this VM and decodes those of the others.

    Parameters
    ----------
    dispatch : Callable
        Passes an event to the dispatcher.
    send : Callable
        Sends a datagram to an address.
    counter : prometheus_client.Counter
        Counts messages by kind and outcome.
    read_by_kind : Mapping
        Decoders of the kinds of messages that this VM accepts.
    """

    def __init__(
        self,
        dispatch: Callable[[Event], None],
        send: Callable[[bytes, _Address], None],
        counter: Counter,
        read_by_kind: Mapping[str, ReadMessage],
    ) -> None:
        self._dispatch = dispatch
        self._send = send
        self._counter = counter
        self._read_by_kind = read_by_kind
        self._address_by_name: dict[str, _Address] = {}
        self._name_by_address: dict[_Address, str] = {}

    def replace_vms(self, entry_by_name: Mapping[str, VmEntry]) -> None:
        """Set the registry entries of the other VMs."""
        self._address_by_name = {
            name: read_address(entry.address)
            for name, entry in entry_by_name.items()
            if entry.address
        }
        self._name_by_address = {
            address: name for name, address in self._address_by_name.items()
        }

    def send(self, effect: SendMessage) -> None:
        """Send a message to each of its receivers that is known."""
        datagram = orjson.dumps(
            {'kind': effect.kind, 'content': effect.content}
        )
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._counter.labels(effect.kind, 'too_long').inc()
            return
        addresses = [
            self._address_by_name[name]
            for name in effect.receivers
            if name in self._address_by_name
        ]
        for address in addresses:
            self._send(datagram, address)
        self._counter.labels(effect.kind, 'sent').inc(len(addresses))

    def receive(self, datagram: bytes, sender: _Address) -> None:
        """Decode a datagram and pass its event to the dispatcher."""
        name = self._name_by_address.get(sender)
        if name is None:
            self._counter.labels('', 'unknown_sender').inc()
            return
        kind, event = self._read(name, datagram)
        if event is None:
            self._counter.labels(kind, 'unreadable').inc()
            fields = {'vm': name, 'kind': kind, 'bytes': len(datagram)}
            _LOG.debug('message cannot be read', extra=fields)
            return
        self._counter.labels(kind, 'received').inc()
        self._dispatch(event)

    def _read(self, name: str, datagram: bytes) -> tuple[str, Event | None]:
        """Return the kind and the event; the kind is empty if it is unknown."""
        try:
            decoded = orjson.loads(datagram)
        except orjson.JSONDecodeError:
            return '', None
        kind = decoded.get('kind') if isinstance(decoded, dict) else None
        read = self._read_by_kind.get(kind) if isinstance(kind, str) else None
        if read is None:
            return '', None
        return str(kind), read(name, decoded.get('content'))
