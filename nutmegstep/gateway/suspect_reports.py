"""Exchanges reports about slow targets with neighbours.

A neighbour is another VM of the same failure domain. Reports are sent in UDP
datagrams: they are small, a lost one only delays a suspicion, and an
unreachable neighbour delays no other.
"""

import asyncio
import logging
from collections.abc import Callable, Collection
from random import Random
from typing import Final

import orjson
from prometheus_client import Counter

from nutmegstep.dispatch.control_events import TargetsSuspected
from nutmegstep.settings.fields import read_address

__all__ = ['SuspectReportExchange']

_LOG: Final = logging.getLogger(__name__)
_BATCH_DELAY_S: Final = 0.02
"""Time for which reports are collected for one datagram. A query that waits for
several targets reports all of them at once."""
_MAX_TARGETS: Final = 64
"""Most targets in one datagram, so that it fits into one packet."""
_MAX_RECEIVERS: Final = 64
"""Most neighbours that a report is sent to. In a larger failure domain they are
drawn at random for each datagram, so that the repeated reports about a target
that stays slow reach enough VMs."""

_Address = tuple[str, int]


class SuspectReportExchange(asyncio.DatagramProtocol):
    """Sends the reports of this VM and receives those of its neighbours.

    Parameters
    ----------
    on_reports : Callable
        Called with the targets in a datagram of a neighbour.
    random : random.Random
        Draws the receivers of a datagram.
    counter : prometheus_client.Counter
        Counts datagrams by outcome.

    Attributes
    ----------
    on_message : Callable or None
        Called with each datagram that holds a JSON object, which is a message of
        another kind, and with the address of its sender.
    """

    def __init__(
        self,
        on_reports: Callable[[TargetsSuspected], None],
        random: Random,
        counter: Counter,
    ) -> None:
        self._on_reports = on_reports
        self._random = random
        self._counter = counter
        self._transport: asyncio.DatagramTransport | None = None
        self._neighbours: list[_Address] = []
        self._neighbour_hosts: frozenset[str] = frozenset()
        self._pending_target_ids: dict[str, None] = {}
        self.on_message: Callable[[bytes, _Address], None] | None = None

    async def open(self, address: _Address) -> None:
        """Bind the UDP socket of this VM.

        If that fails, the VM serves callers without exchanging reports.
        """
        loop = asyncio.get_running_loop()
        try:
            endpoint = await loop.create_datagram_endpoint(
                lambda: self,
                local_addr=address,
            )
        except OSError as error:
            _LOG.warning('reports are off', extra={'detail': str(error)})
            return
        self._transport = endpoint[0]

    def replace_neighbours(self, addresses: Collection[str]) -> None:
        """Set the ``host:port`` addresses of the neighbours."""
        self._neighbours = [read_address(one) for one in addresses if one]
        self._neighbour_hosts = frozenset(host for host, _ in self._neighbours)

    def report(self, target_id: str) -> None:
        """Queue a report about a target for the next datagram."""
        if not self._neighbours:
            return
        if not self._pending_target_ids:
            loop = asyncio.get_running_loop()
            loop.call_later(_BATCH_DELAY_S, self._send_batch)
        if len(self._pending_target_ids) < _MAX_TARGETS:
            self._pending_target_ids[target_id] = None

    def send(self, datagram: bytes, address: _Address) -> None:
        """Send a datagram, unless the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, address)

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: _Address) -> None:
        """Decode a datagram, unless its sender is not a neighbour."""
        if self.on_message is not None and data.startswith(b'{'):
            self.on_message(data, addr)
            return
        if addr[0] not in self._neighbour_hosts:
            self._counter.labels('unknown_sender').inc()
            return
        target_ids = _decode(data)
        if target_ids is None:
            self._counter.labels('unreadable').inc()
            fields = {'sender': addr[0], 'bytes': len(data)}
            _LOG.warning('report cannot be read', extra=fields)
            return
        self._counter.labels('received').inc()
        self._on_reports(TargetsSuspected(target_ids, addr[0]))

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be sent."""
        self._counter.labels('not_sent').inc()

    def _send_batch(self) -> None:
        content = orjson.dumps(tuple(self._pending_target_ids))
        self._pending_target_ids.clear()
        if self._transport is None or self._transport.is_closing():
            return
        count = min(len(self._neighbours), _MAX_RECEIVERS)
        for address in self._random.sample(self._neighbours, count):
            self._transport.sendto(content, address)
        self._counter.labels('sent').inc(count)


def _decode(data: bytes) -> tuple[str, ...] | None:
    try:
        decoded = orjson.loads(data)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(decoded, list) or len(decoded) > _MAX_TARGETS:
        return None
    if not all(isinstance(one, str) for one in decoded):
        return None
    return tuple(decoded)
