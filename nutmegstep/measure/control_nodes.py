"""Runs the control planes of several VMs in one process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Final

from nutmegstep.clock import Clock, SystemClock
from nutmegstep.engine.events import ControlChanged, Event, FleetChanged
from nutmegstep.measure.control_platform import MeasuredPlatform
from nutmegstep.measure.fleets import sized_fleet
from nutmegstep.membership import view
from nutmegstep.model import Fleet
from nutmegstep.node import ControlPlane, NodeCallbacks, NodeSettings
from nutmegstep.peers import ClaimReport, ClaimState
from nutmegstep.platform_api import ObjectClient, VmRecord
from nutmegstep.standins.platform import PlatformStandIn
from nutmegstep.web import HttpLimits, serve_http

__all__ = [
    'ControlBench',
    'FirstSeen',
    'Node',
    'measured_fleet',
    'run_nodes',
    'wait_until',
]

_LOOPBACK: Final = '127.0.0.1'
_DOMAINS: Final = ('domain-1', 'domain-2', 'domain-3')
_POLL_SECONDS: Final = 0.002
_WAIT_SECONDS: Final = 60
_VALUE_BYTES: Final = 1_000_000
_TARGETS: Final = 75


@dataclass(slots=True)
class FirstSeen:
    """Times at which changes came into force at one node; changed in place.

    Parameters
    ----------
    instant_by_generation : dict
        Monotonic time in seconds by generation of the configuration.
    instant_by_domain : dict
        Monotonic time in seconds of the withdrawal, by failure domain.
    """

    instant_by_generation: dict[int, float] = field(default_factory=dict)
    instant_by_domain: dict[str, float] = field(default_factory=dict)

    def record_event(self, event: Event, now: float) -> None:
        """Record the time of a change, unless it was recorded before."""
        if isinstance(event, FleetChanged):
            generation = event.fleet.generation
            self.instant_by_generation.setdefault(generation, now)
        if isinstance(event, ControlChanged):
            for domain in event.withdrawn_domains:
                self.instant_by_domain.setdefault(domain, now)


@dataclass(frozen=True, slots=True)
class Node:
    """Running control plane of one VM."""

    name: str
    failure_domain: str
    plane: ControlPlane
    platform: MeasuredPlatform
    address: str
    seen: FirstSeen


@dataclass(slots=True)
class ControlBench:
    """Stand-in of the platform and the nodes that use it; changed in place."""

    standin: PlatformStandIn
    client: ObjectClient
    clock: Clock
    nodes: tuple[Node, ...] = ()
    generation: int = 1


def measured_fleet(nodes: int, generation: int) -> Fleet:
    """Return the configuration that the nodes use.

    Examples
    --------
    >>> measured_fleet(6, 4).generation
    4
    """
    fleet = sized_fleet(_TARGETS, nodes)
    return Fleet(
        generation,
        fleet.services_by_name,
        fleet.targets_by_name,
        nodes,
        dict.fromkeys(_DOMAINS, max(1, nodes // len(_DOMAINS))),
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for at most 60 s.

    Raises
    ------
    TimeoutError
        The condition did not hold within 60 s.
    """
    async with asyncio.timeout(_WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(_POLL_SECONDS)


@asynccontextmanager
async def run_nodes(count: int, seed: int) -> AsyncIterator[ControlBench]:
    """Start nodes, wait until all hear each other, and stop them at the end."""
    clock = SystemClock()
    standin = PlatformStandIn(clock)
    limits = HttpLimits(body_bytes=_VALUE_BYTES)
    server = await serve_http(standin.handle, _LOOPBACK, 0, limits)
    port = server.sockets[0].getsockname()[1]
    client = ObjectClient(_LOOPBACK, port)
    bench = ControlBench(standin, client, clock)
    try:
        await _start_all(bench, port, count, seed)
        yield bench
    finally:
        await _stop_all(bench)
        server.close()


async def _start_all(
    bench: ControlBench, port: int, count: int, seed: int
) -> None:
    nodes = [
        await _start(bench.clock, number, port, seed) for number in range(count)
    ]
    bench.nodes = tuple(nodes)
    bench.standin.set_vms(
        [
            VmRecord(node.name, node.address, node.failure_domain)
            for node in bench.nodes
        ],
    )
    await wait_until(
        lambda: all(_hears_all(bench, node) for node in bench.nodes)
    )


async def _stop_all(bench: ControlBench) -> None:
    await asyncio.gather(*(node.plane.stop() for node in bench.nodes))
    bench.client.close()


def _hears_all(bench: ControlBench, node: Node) -> bool:
    names = view(node.plane.state.membership, bench.clock.monotonic())
    return len(names) == len(bench.nodes)


async def _start(clock: Clock, number: int, port: int, seed: int) -> Node:
    name = f'vm-{number:03d}'
    domain = _DOMAINS[number % len(_DOMAINS)]
    platform = MeasuredPlatform(ObjectClient(_LOOPBACK, port))
    seen = FirstSeen()
    plane = ControlPlane(
        NodeSettings(name, domain, _LOOPBACK),
        platform,
        clock,
        NodeCallbacks(
            lambda event: seen.record_event(event, clock.monotonic()),
            _unknown_claim,
            lambda _: b'null',
        ),
        Random(f'{seed} {name}'),
    )
    address = await plane.start()
    return Node(name, domain, plane, platform, address, seen)


async def _unknown_claim(_: bytes) -> ClaimReport:
    return ClaimReport(ClaimState.UNKNOWN)
