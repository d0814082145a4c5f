"""Shares of a VM's memory and descriptors that callers and neighbours may use."""

import logging
from dataclasses import dataclass
from functools import partial
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

from nutmegstep.clock import Clock
from nutmegstep.web import CloseReason, MemoryAccount, SharedParts
from nutmegstep.web.charges import RECEIVE_BUFFER_BYTES

__all__ = [
    'RECEIVE_BUFFER_BYTES',
    'SEND_BUFFER_BYTES',
    'PeerAccount',
    'PeerLimits',
    'share_out',
]

SEND_BUFFER_BYTES: Final = 128 * 1024
"""Bytes of answers that the kernel keeps for a peer. What exceeds them is in the
account."""
_LOG: Final = logging.getLogger(__name__)
_BYTES_PER_MB: Final = 10**6
_MEMORY_SHARE: Final = 0.3
"""Part of the memory for what callers and neighbours make the process hold. The
smallest VMs have 200 MB: up to 90 MB for the process and its state, 16 MB for
responses of targets, 60 MB for this, and the rest for the kernel and the gaps
between objects."""
_FILE_DESCRIPTORS: Final = 200
"""Descriptors that the platform reserves for files."""
_MAX_CALLERS: Final = 2000
_CALLERS_SHARE: Final = 0.52
_CALLER_SOCKETS_SHARE: Final = 0.57
_NEIGHBOUR_SHARE: Final = 0.23
_NEIGHBOUR_SOCKETS_SHARE: Final = 0.25
"""Parts of the descriptors for sockets. What is left, 0.18, is for targets, the store
and requests to neighbours."""
_LINE_INTERVAL_S: Final = 1.0
"""Shortest time between two log lines."""


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """What callers and neighbours may use.

    Parameters
    ----------
    memory_bytes : int
        Most bytes that they make the process hold.
    callers, neighbours : int
        Connections that are served.
    caller_sockets, neighbour_sockets : int
        Most connections, including those that are refused.
    """

    memory_bytes: int
    callers: int
    caller_sockets: int
    neighbours: int
    neighbour_sockets: int


def share_out(memory_mb: float, max_descriptors: int) -> PeerLimits:
    """Return the limits of a VM.

    Parameters
    ----------
    memory_mb : float
        Memory of the VM in MB.
    max_descriptors : int
        Most open descriptors of the VM.
    """
    # A VM with few descriptors has fewer for files.
    sockets = max(max_descriptors - _FILE_DESCRIPTORS, max_descriptors // 2)
    return PeerLimits(
        int(memory_mb * _BYTES_PER_MB * _MEMORY_SHARE),
        min(_MAX_CALLERS, int(sockets * _CALLERS_SHARE)),
        int(sockets * _CALLER_SOCKETS_SHARE),
        min(_MAX_CALLERS, int(sockets * _NEIGHBOUR_SHARE)),
        int(sockets * _NEIGHBOUR_SOCKETS_SHARE),
    )


class PeerAccount:
    """Account of the memory of callers and neighbours, with metrics and a log.

    Parameters
    ----------
    memory_bytes : int
        Most bytes that they make the process hold.
    clock : Clock
        Monotonic clock that bounds the log lines.
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(
        self, memory_bytes: int, clock: Clock, registry: CollectorRegistry
    ) -> None:
        self._account = MemoryAccount(memory_bytes)
        self._clock = clock
        self._next_line_at = float(0)
        self._omitted = 0
        self._counter = Counter(
            'nutmegstep_closed_connections_total',
            'Connections that were closed for want of room, by port and reason.',
            ('port', 'reason'),
            registry=registry,
        )
        held = Gauge(
            'nutmegstep_held_bytes',
            'Memory that callers and neighbours make the process hold.',
            registry=registry,
        )
        held.set_function(lambda: self._account.held)

    def shared_parts(self, port: str) -> SharedParts:
        """Return what the connections to a port, which has a name, share."""
        return SharedParts(self._account, partial(self._note_closed, port))

    def _note_closed(self, port: str, reason: CloseReason) -> None:
        self._counter.labels(port, reason.value).inc()
        now = self._clock.monotonic()
        if now < self._next_line_at:
            self._omitted += 1
            return
        fields = {
            'port': port,
            'reason': reason.value,
            'omitted_before': self._omitted,
        }
        self._next_line_at = now + _LINE_INTERVAL_S
        self._omitted = 0
        _LOG.warning('connection closed for want of room', extra=fields)
