"""Processes of a measurement, and the measurement of one phase of load."""

import asyncio
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Final

import orjson

from nutmegstep.measure.connection import CallerPool, EntryAddress
from nutmegstep.measure.load import Generator, LoadResult
from nutmegstep.measure.processes import processor_seconds
from nutmegstep.measure.targets import TargetControl
from nutmegstep.standins.deployments import (
    DOMAIN_COUNT,
    INDEX_VERSION,
    build_version,
)

__all__ = ['SIDES', 'Bench', 'Phase', 'load_bench', 'measure_phase']

#: Compared implementations: the product and the plain baseline.
SIDES: Final = ('product', 'baseline')
_MICROSECONDS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Bench:
    """Processes and parameters that scenarios use.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    directory : pathlib.Path
        Directory of the files that are exchanged with the start script.
    control : TargetControl
        Client of the control endpoints of the target stand-ins.
    entries_by_side : dict
        Entry processes of each side.
    port_by_target : dict
        Port of each target stand-in.
    seed : int
        Seed of the random arrival times.
    seconds : float
        Length of a phase in seconds.
    rate_per_entry : float
        Queries per second for each entry process in scenarios without
        overload.
    overload_factor : float
        Factor on the service times of targets in the overload scenario, which
        makes the slots the bottleneck.
    notes : list of str
        Lines that are printed after the phases; they are not figures of one
        phase.
    """

    deployment: str
    directory: Path
    control: TargetControl
    entries_by_side: dict[str, tuple[EntryAddress, ...]]
    port_by_target: dict[str, int]
    seed: int
    seconds: float
    rate_per_entry: float
    overload_factor: float
    notes: list[str] = field(default_factory=list)

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of all targets."""
        return tuple(sorted(self.port_by_target))

    def generator(
        self,
        side: str,
        *,
        trace_flags: int = 0,
    ) -> Generator:
        """Return a load generator for the entry processes of a side.

        Parameters
        ----------
        side : str
            Element of `SIDES`.
        trace_flags : int, optional
            Flags of the W3C trace context; 1 makes the entry processes record
            spans.
        """
        version = build_version(self.deployment, INDEX_VERSION)
        return Generator(
            tuple(
                CallerPool(entry, trace_flags=trace_flags)
                for entry in self.entries_by_side[side]
            ),
            {version.number: frozenset(version.shards_by_name)},
            Random(self.seed),
        )

    def quiet_rate(self, side: str) -> float:
        """Return the queries per second of all entry processes of a side."""
        return self.rate_per_entry * len(self.entries_by_side[side])


@dataclass(frozen=True, slots=True)
class Phase:
    """Replies and cost of one phase of load.

    Parameters
    ----------
    side : str
        Element of `SIDES`.
    name : str
        Name of the phase.
    load : LoadResult
        Replies that callers received.
    target_requests : int
        Number of requests that targets received.
    sheds : int
        Number of requests that targets rejected because of overload.
    entry_seconds : float
        Processor time of the entry processes of the side in seconds.
    generator_seconds : float
        Processor time of the load generator in seconds.
    shards : int
        Number of shards of a query.
    """

    side: str
    name: str
    load: LoadResult
    target_requests: int
    sheds: int
    entry_seconds: float
    generator_seconds: float
    shards: int

    @property
    def extra_requests(self) -> float:
        """Target requests beyond one per query and shard, as a share."""
        needed = self.load.attempts * self.shards
        return self.target_requests / needed - 1 if needed else 0

    @property
    def microseconds(self) -> float:
        """Processor time of the entry processes in us per target request."""
        spent = self.entry_seconds * _MICROSECONDS
        return spent / max(1, self.target_requests)

    @property
    def queries_per_core(self) -> float:
        """Whole answers per second of processor time of the entry processes."""
        return self.load.whole / max(self.entry_seconds, 1 / _MICROSECONDS)


async def measure_phase(
    bench: Bench,
    side: str,
    name: str,
    load: Awaitable[LoadResult],
) -> Phase:
    """Run a load and measure its cost.

    Parameters
    ----------
    bench : Bench
        Processes that are measured.
    side : str
        Element of `SIDES`.
    name : str
        Name of the phase.
    load : Awaitable of LoadResult
        The load; it is awaited here.
    """
    pids = [entry.pid for entry in bench.entries_by_side[side]]
    clock = asyncio.get_running_loop().time
    before = await bench.control.totals()
    spent = processor_seconds(pids)
    generator_spent = processor_seconds(('self',))
    started = clock()
    result = await load
    result.seconds = result.seconds or clock() - started
    entry_seconds = processor_seconds(pids) - spent
    generator_seconds = processor_seconds(('self',)) - generator_spent
    after = await bench.control.totals()
    return Phase(
        side,
        name,
        result,
        after.requests - before.requests,
        after.shed - before.shed,
        entry_seconds,
        generator_seconds,
        len(build_version(bench.deployment, INDEX_VERSION).shards_by_name),
    )


def read_entries(directory: Path, side: str) -> tuple[EntryAddress, ...]:
    """Read the entry processes of a side from the start script's files."""
    found = []
    for path in sorted(directory.glob(f'{side}-*.port')):
        host, port = path.read_text().rsplit(':', 1)
        pid = int(path.with_suffix('.pid').read_text())
        domain = int(path.with_suffix('.domain').read_text())
        found.append(EntryAddress(host, int(port), domain, pid))
    return tuple(found)


def load_bench(
    directory: Path,
    deployment: str,
    seed: int,
    seconds: float,
    rate_per_entry: float,
    overload_factor: float,
) -> Bench:
    """Read the processes that the start script has started.

    The parameters are those of `Bench`.
    """
    domains: Sequence[int] = range(1, DOMAIN_COUNT + 1)
    port_by_target: dict[str, int] = {}
    for domain in domains:
        listed = (directory / f'targets-{domain}.json').read_bytes()
        port_by_target.update(orjson.loads(listed))
    control = TargetControl(
        [
            (directory / f'control-{number}.port').read_text()
            for number in domains
        ],
    )
    return Bench(
        deployment,
        directory,
        control,
        {side: read_entries(directory, side) for side in SIDES},
        port_by_target,
        seed,
        seconds,
        rate_per_entry,
        overload_factor,
    )
