"""Measures the time until a change is in force at every VM."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from statistics import median
from types import MappingProxyType
from typing import Final

from nutmegstep.control import ControlState
from nutmegstep.declarations import (
    ControlChange,
    ControlSubject,
    Register,
    encode_fleet,
)
from nutmegstep.measure.control_nodes import (
    ControlBench,
    measured_fleet,
    wait_until,
)
from nutmegstep.node import StoredObject
from nutmegstep.node.documents import (
    CONFIG_NAME,
    CONTROL_NAME,
    encode_registers,
)
from nutmegstep.node.relay import merge_object
from nutmegstep.peers import PeerClient, Traffic
from nutmegstep.standins.platform import Outage

__all__ = ['TIMES_BY_NAME', 'Times', 'measure_times']

_LAG_SECONDS: Final = 1
_SETTLE_SECONDS: Final = 1.5
_CUT_DOMAINS: Final = frozenset(('domain-2', 'domain-3'))

_Trial = Callable[[ControlBench, int], Awaitable[float]]


@dataclass(frozen=True, slots=True)
class Times:
    """Times of one trial.

    Parameters
    ----------
    name : str
        Key of `TIMES_BY_NAME`.
    seconds : tuple of float
        Time of each run in seconds until the last VM had the change.
    """

    name: str
    seconds: tuple[float, ...]

    def line(self) -> str:
        """Return the median, the maximum and the number of runs as text.

        Examples
        --------
        >>> Times('quiet', (0.5, 0.1, 0.2)).line()
        'quiet: median 0.200 s, worst 0.500 s, 3 runs'
        """
        return (
            f'{self.name}: median {median(self.seconds):.3f} s, '
            f'worst {max(self.seconds):.3f} s, {len(self.seconds)} runs'
        )


async def measure_times(bench: ControlBench, name: str, runs: int) -> Times:
    """Run a trial several times.

    Parameters
    ----------
    bench : ControlBench
        Running nodes.
    name : str
        Key of `TIMES_BY_NAME`.
    runs : int
        Number of runs.
    """
    trial = TIMES_BY_NAME[name]
    seconds = []
    for run in range(runs):
        seconds.append(await trial(bench, run))
        await asyncio.sleep(_SETTLE_SECONDS)
    return Times(name, tuple(seconds))


async def _publish_quiet(bench: ControlBench, run: int) -> float:
    return await _publish(bench)


async def _publish_with_lost_answer(bench: ControlBench, run: int) -> float:
    bench.standin.faults.lose_answers = 1
    return await _publish(bench)


async def _publish_with_lag(bench: ControlBench, run: int) -> float:
    bench.standin.faults.watch_lag = _LAG_SECONDS
    try:
        return await _publish(bench)
    finally:
        bench.standin.faults.watch_lag = 0


async def _hand_over_in_outage(bench: ControlBench, run: int) -> float:
    document = _next_document(bench)
    async with _outage(bench):
        started = bench.clock.monotonic()
        stored = StoredObject(CONFIG_NAME, '"0"', 0, document)
        receiver = bench.nodes[0].plane
        merge_object(receiver.state, stored)
        return await _configured(bench) - started


async def _withdraw_at_platform(bench: ControlBench, run: int) -> float:
    domain = f'at-platform-{run}'
    await _write_withdrawal(bench, domain)
    returned = bench.clock.monotonic()
    return await _withdrawn(bench, domain) - returned


async def _withdraw_while_cut_off(bench: ControlBench, run: int) -> float:
    domain = f'cut-off-{run}'
    cut_nodes = [
        node for node in bench.nodes if node.failure_domain in _CUT_DOMAINS
    ]
    for node in cut_nodes:
        node.platform.cut_off = True
    await _write_withdrawal(bench, domain)
    returned = bench.clock.monotonic()
    arrived = await _withdrawn(bench, domain)
    for cut_node in cut_nodes:
        cut_node.platform.cut_off = False
    return arrived - returned


async def _withdraw_through_vm(bench: ControlBench, run: int) -> float:
    domain = f'through-vm-{run}'
    client = PeerClient(Traffic())
    command = ControlChange(
        ControlSubject.FAILURE_DOMAIN,
        domain,
        withdrawn=True,
        changed_by='measure',
    )
    async with _outage(bench):
        await client.apply_control(bench.nodes[0].address, command)
        returned = bench.clock.monotonic()
        arrived = await _withdrawn(bench, domain)
    await client.close()
    return arrived - returned


async def _publish(bench: ControlBench) -> float:
    document = _next_document(bench)
    before = (await bench.client.get(CONFIG_NAME)).value_or(None)
    tag = before.version if before else None
    started = bench.clock.monotonic()
    write = asyncio.create_task(bench.client.put(CONFIG_NAME, document, tag))
    arrived = await _configured(bench)
    await write
    return arrived - started


def _next_document(bench: ControlBench) -> bytes:
    bench.generation += 1
    return encode_fleet(measured_fleet(len(bench.nodes), bench.generation))


async def _configured(bench: ControlBench) -> float:
    seen = [node.seen.instant_by_generation for node in bench.nodes]
    generation = bench.generation
    await wait_until(lambda: all(generation in instants for instants in seen))
    return max(instants[generation] for instants in seen)


async def _withdrawn(bench: ControlBench, domain: str) -> float:
    seen = [node.seen.instant_by_domain for node in bench.nodes]
    await wait_until(lambda: all(domain in instants for instants in seen))
    return max(instants[domain] for instants in seen)


async def _write_withdrawal(bench: ControlBench, domain: str) -> None:
    before = (await bench.client.get(CONTROL_NAME)).value_or(None)
    plane = bench.nodes[0].plane
    known = plane.state.control
    withdrawals = dict(known.withdrawals_by_domain)
    withdrawals[domain] = Register(1, withdrawn=True)
    state = ControlState(withdrawals_by_domain=withdrawals)
    tag = before.version if before else None
    written = await bench.client.put(CONTROL_NAME, encode_registers(state), tag)
    written.unwrap()


@asynccontextmanager
async def _outage(bench: ControlBench) -> AsyncIterator[None]:
    bench.standin.faults.outage = Outage.ERRORS
    try:
        yield
    finally:
        bench.standin.faults.outage = Outage.NONE


#: Trials by name; each one makes a change and returns the time in seconds until
#: the last VM has it.
TIMES_BY_NAME: Final = MappingProxyType[str, _Trial](
    {
        'publish, quiet': _publish_quiet,
        'publish, answer lost': _publish_with_lost_answer,
        'publish, watch lags by 1 s': _publish_with_lag,
        'configuration handed to one VM in an outage': _hand_over_in_outage,
        'withdrawal at the platform': _withdraw_at_platform,
        'withdrawal, two domains cut off': _withdraw_while_cut_off,
        'withdrawal through one VM in an outage': _withdraw_through_vm,
    },
)
