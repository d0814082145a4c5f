"""Measures the cost of the control plane at a number of nodes."""

import asyncio
import gc
import os
import socket
import struct
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from nutmegstep.measure.control_nodes import ControlBench, run_nodes
from nutmegstep.measure.processes import resident_kilobytes
from nutmegstep.platform_api import CallKind

__all__ = ['NodeCost', 'measure_cost']

# Until a process has heard the others, it is a relay and watches the platform.
# Such a watch lasts up to 30 s, and its calls must not be counted.
_SETTLE_SECONDS: Final = 31
# Layout of tcpi_bytes_acked and tcpi_bytes_received in the tcp_info structure of
# the Linux kernel.
_COUNTERS: Final = struct.Struct('=QQ')
_COUNTERS_OFFSET: Final = 120
_INFO_BYTES: Final = 256


@dataclass(frozen=True, slots=True)
class NodeCost:
    """Cost of each node per second, and platform calls of all nodes together.

    Parameters
    ----------
    nodes : int
        Number of nodes in the process.
    messages : float
        Protobuf messages sent and received, per second and node.
    message_bytes : float
        Bytes of these messages, per second and node.
    socket_bytes : float
        TCP payload sent and received in bytes, per second and node.
    processor : float
        Processor time of a node, as a share of a core.
    resident_kilobytes : int
        Resident set size of the process, with all nodes, in KiB.
    calls_by_kind : dict
        Platform calls of all nodes per second, by kind of call.
    """

    nodes: int
    messages: float
    message_bytes: float
    socket_bytes: float
    processor: float
    resident_kilobytes: int
    calls_by_kind: dict[str, float]

    def line(self) -> str:
        """Return the figures as one line of text."""
        calls = ', '.join(
            f'{kind} {rate:.2f}'
            for kind, rate in sorted(self.calls_by_kind.items())
        )
        return (
            f'{self.nodes} nodes: {self.messages:.0f} messages/s, '
            f'{self.message_bytes / 1000:.2f} kB/s in messages, '
            f'{self.socket_bytes / 1000:.2f} kB/s in sockets, '
            f'{self.processor:.2%} of a core per node; process '
            f'{self.resident_kilobytes / 1024:.1f} MiB; platform calls/s: '
            f'{calls}'
        )


@dataclass(frozen=True, slots=True)
class _Totals:
    messages: int
    message_bytes: int
    socket_bytes: int


async def measure_cost(nodes: int, seconds: float, seed: int) -> NodeCost:
    """Measure idle nodes, that is, without changes of configuration.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    seconds : float
        Length of the measurement, which starts 31 s after the nodes.
    seed : int
        Seed of the random draws of the nodes.
    """
    async with run_nodes(nodes, seed) as bench:
        await asyncio.sleep(_SETTLE_SECONDS)
        return await _measure(bench, seconds)


async def _measure(bench: ControlBench, seconds: float) -> NodeCost:
    bench.standin.reset_counts()
    before = _totals(bench)
    processor = time.process_time()
    started = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - started
    share = (time.process_time() - processor) / elapsed
    per_node = elapsed * len(bench.nodes)
    after = _totals(bench)
    gc.collect()
    calls_by_kind = {kind.value: float(0) for kind in CallKind}
    for kind, rate in bench.standin.rate_by_kind().items():
        calls_by_kind[kind.value] = rate
    return NodeCost(
        len(bench.nodes),
        (after.messages - before.messages) / per_node,
        (after.message_bytes - before.message_bytes) / per_node,
        (after.socket_bytes - before.socket_bytes) / per_node,
        share / len(bench.nodes),
        resident_kilobytes(os.getpid()),
        calls_by_kind,
    )


def _totals(bench: ControlBench) -> _Totals:
    traffic = [node.plane.traffic for node in bench.nodes]
    return _Totals(
        sum(one.messages_by_call.total() for one in traffic),
        sum(one.bytes_by_call.total() for one in traffic),
        _socket_bytes(),
    )


def _socket_bytes() -> int:
    descriptors = [int(entry.name) for entry in Path('/proc/self/fd').iterdir()]
    return sum(map(_transferred_bytes, descriptors))


def _transferred_bytes(descriptor: int) -> int:
    # Descriptors that are closed or are no TCP sockets have no counters.
    try:
        own = os.dup(descriptor)
    except OSError:
        return 0
    try:
        with socket.socket(fileno=own) as connection:
            packed = connection.getsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_INFO,
                _INFO_BYTES,
            )
    except OSError:
        _close_quietly(own)
        return 0
    if len(packed) < _COUNTERS_OFFSET + _COUNTERS.size:
        return 0
    return sum(_COUNTERS.unpack_from(packed, _COUNTERS_OFFSET))


def _close_quietly(descriptor: int) -> None:
    try:
        os.close(descriptor)
    except OSError:
        return
