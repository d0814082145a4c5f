"""Scenarios of load and faults; each one yields its measured phases."""

from collections.abc import AsyncIterator, Callable, Mapping
from random import Random
from types import MappingProxyType
from typing import Final

from nutmegstep.measure.bench import SIDES, Bench, Phase, measure_phase
from nutmegstep.measure.idle import note_idle
from nutmegstep.measure.load import run_closed_loop, run_open_loop
from nutmegstep.measure.warming import warm_up
from nutmegstep.measure.withdrawal import withdrawal
from nutmegstep.standins.deployments import INDEX_VERSION, build_version

__all__ = ['SCENARIOS_BY_NAME', 'Scenario']

Scenario = Callable[[Bench], AsyncIterator[Phase]]

#: Factor on the service time of a slow target.
STRAGGLE_FACTOR: Final = 10
#: Offered load of the overload scenario, as a multiple of the capacity.
OVERLOAD: Final = 1.2
#: Time for which a caller of the overload scenario retries.
RETRY_SECONDS: Final = 5
#: The search for the capacity doubles the callers until the goodput grows by
#: less than this factor.
_CAPACITY_GROWTH: Final = 1.03
_CAPACITY_FIRST_CALLERS: Final = 8
_CAPACITY_MAX_CALLERS: Final = 256
_CAPACITY_SECONDS: Final = 3
_WARM_UP_SECONDS: Final = 1
#: Names of the cold phases, and whether the targets get a new boot identifier.
_COLD_KINDS: Final = (('cold-restart', True), ('cold-unseen', False))


async def _steady(
    bench: Bench,
    side: str,
    name: str,
    trace_flags: int = 0,
) -> Phase:
    generator = bench.generator(side, trace_flags=trace_flags)
    rate = bench.quiet_rate(side)
    await run_open_loop(generator, rate, _WARM_UP_SECONDS)
    load = run_open_loop(generator, rate, bench.seconds)
    return await measure_phase(bench, side, name, load)


async def quiet(bench: Bench) -> AsyncIterator[Phase]:
    """Measure a steady load without faults."""
    await note_idle(bench)
    for side in SIDES:
        yield await _steady(bench, side, 'quiet')


async def spans(bench: Bench) -> AsyncIterator[Phase]:
    """Measure a steady load with spans for all requests."""
    yield await _steady(bench, 'product', 'spans', trace_flags=1)


async def stragglers(bench: Bench) -> AsyncIterator[Phase]:
    """Measure a steady load with one slow replica of each shard."""
    slow = _one_replica_per_shard(bench)
    await bench.control.switch('faults', slow, straggle_factor=STRAGGLE_FACTOR)
    for side in SIDES:
        yield await _steady(bench, side, 'stragglers')
    await bench.control.switch('faults', slow, straggle_factor=1)


async def overload(bench: Bench) -> AsyncIterator[Phase]:
    """Find the capacity, then offer 1.2 times as much with immediate retries.

    Service times are longer here, so that the slots of the targets are the
    bottleneck and not the processors of the machine.
    """
    factor = bench.overload_factor
    await bench.control.switch('faults', bench.targets, straggle_factor=factor)
    for side in SIDES:
        capacity = await _find_capacity(bench, side)
        yield capacity
        load = run_open_loop(
            bench.generator(side),
            OVERLOAD * capacity.load.goodput,
            bench.seconds,
            RETRY_SECONDS,
        )
        yield await measure_phase(bench, side, 'overload', load)
    await bench.control.switch('faults', bench.targets, straggle_factor=1)


async def cold(bench: Bench) -> AsyncIterator[Phase]:
    """Measure a steady load while one replica of each shard is cold.

    A target that restarts counts as cold as soon as an entry process sees its
    new boot identifier. A target that becomes cold without one counts as warm
    until its answers are late, so that some requests reach it too early.
    """
    for number, (name, restarted) in enumerate(_COLD_KINDS):
        # The shift selects other replicas for the second kind: those of the
        # first one may still be cold.
        replicas = _one_replica_per_shard(bench, number)
        for side in SIDES:
            await bench.control.switch('cold', replicas, restarted=restarted)
            yield await _steady(bench, side, name)
            await _note_cold_load(bench, side, name, replicas)
            async for phase in warm_up(bench, side):
                yield phase


async def _note_cold_load(
    bench: Bench,
    side: str,
    name: str,
    replicas: list[str],
) -> None:
    counts_by_target = await bench.control.counts()
    counts = [counts_by_target[replica] for replica in replicas]
    peak = max(count['cold_peak'] for count in counts)
    over = sum(count['cold_peak'] > count['cold_slots'] for count in counts)
    still_cold = sum(count['cold'] for count in counts)
    bench.notes.append(
        f'{name}, {side}: most load of a cold target {peak} (limit '
        f'{counts[0]["cold_slots"]}), {over} of {len(replicas)} cold targets '
        f'above it, all entry processes together; {still_cold} still cold',
    )


async def _find_capacity(bench: Bench, side: str) -> Phase:
    callers = _CAPACITY_FIRST_CALLERS
    best: Phase | None = None
    while callers <= _CAPACITY_MAX_CALLERS:
        generator = bench.generator(side)
        load = run_closed_loop(generator, callers, _CAPACITY_SECONDS)
        phase = await measure_phase(bench, side, f'capacity:{callers}', load)
        grown = best is None or (
            phase.load.goodput > best.load.goodput * _CAPACITY_GROWTH
        )
        if not grown and best is not None:
            return best
        best = phase
        callers *= 2
    assert best is not None
    return best


def _one_replica_per_shard(bench: Bench, shift: int = 0) -> list[str]:
    random = Random(bench.seed)
    version = build_version(bench.deployment, INDEX_VERSION)
    return [
        shard.replicas[
            (random.randrange(len(shard.replicas)) + shift)
            % len(shard.replicas)
        ]
        for shard in version.shards_by_name.values()
    ]


SCENARIOS_BY_NAME: Final[Mapping[str, Scenario]] = MappingProxyType(
    {
        'quiet': quiet,
        'spans': spans,
        'stragglers': stragglers,
        'overload': overload,
        'cold': cold,
        'withdrawal': withdrawal,
    },
)
