"""Measures the cost of a published configuration in an entry process.

``python -m nutmegstep.measure.capacity_decode`` prints, for several numbers
of targets, the size, the decoding time, the memory, the longest time for which
the event loop is blocked when decoding runs in it or in a thread, and the time
in which the reducer applies the new configuration.
"""

import argparse
import asyncio
import gc
import os
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random
from statistics import median
from typing import Final

from nutmegstep.declarations import decode_fleet, encode_fleet
from nutmegstep.engine import EngineState, reduce
from nutmegstep.engine.events import FleetChanged
from nutmegstep.measure.fleets import sized_fleet
from nutmegstep.model import Fleet

__all__ = ['DecodeCost', 'main', 'measure_decode', 'scattered_fleet']

_SIZES: Final = (1000, 5000, 11000, 23000)
_REPEATS: Final = 5
_TICK_SECONDS: Final = 0.001
_SETTLE_SECONDS: Final = 0.02
_MILLISECONDS: Final = 1000


@dataclass(frozen=True, slots=True)
class DecodeCost:
    """Medians of five runs; times in milliseconds, memory in bytes.

    Parameters
    ----------
    targets : int
        Number of targets of the configuration.
    value_bytes : int
        Size of the published value.
    decode_ms : float
        Processor time of the decoding.
    kept_bytes : int
        Memory that the decoded configuration occupies.
    peak_bytes : int
        Peak memory of the decoding.
    pause_in_loop_ms : float
        Longest time for which the event loop is blocked when it decodes itself.
    pause_in_thread_ms : float
        Longest time for which the event loop is blocked when a thread decodes.
    reduce_ms : float
        Processor time in which the reducer applies the configuration.
    """

    targets: int
    value_bytes: int
    decode_ms: float
    kept_bytes: int
    peak_bytes: int
    pause_in_loop_ms: float
    pause_in_thread_ms: float
    reduce_ms: float

    def line(self) -> str:
        """Return the figures as one line of text."""
        return (
            f'{self.targets} targets: {self.value_bytes} bytes, decode '
            f'{self.decode_ms:.0f} ms, {self.kept_bytes / 1e6:.1f} MB kept, '
            f'{self.peak_bytes / 1e6:.1f} MB at most, pause of the loop '
            f'{self.pause_in_loop_ms:.0f} ms in place and '
            f'{self.pause_in_thread_ms:.0f} ms with a thread, reducer '
            f'{self.reduce_ms:.1f} ms'
        )


def scattered_fleet(targets: int, seed: int) -> Fleet:
    """Return a configuration with random addresses, which compress poorly.

    Examples
    --------
    >>> len(scattered_fleet(3, 1).targets_by_name)
    3
    """
    random = Random(seed)
    fleet = sized_fleet(targets)
    targets_by_name = {
        name: replace(
            target,
            host='.'.join(str(byte) for byte in random.randbytes(4)),
        )
        for name, target in fleet.targets_by_name.items()
    }
    return replace(fleet, targets_by_name=targets_by_name)


def measure_decode(targets: int, seed: int) -> DecodeCost:
    """Measure the costs of a configuration.

    Parameters
    ----------
    targets : int
        Number of targets of the configuration.
    seed : int
        Seed of the addresses of the targets.
    """
    document = encode_fleet(scattered_fleet(targets, seed))

    async def decode_in_loop() -> None:
        decode_fleet(document)

    async def decode_in_thread() -> None:
        await asyncio.to_thread(decode_fleet, document)

    kept, peak = _memory(document)
    return DecodeCost(
        targets,
        len(document),
        _median_ms(lambda: decode_fleet(document)),
        kept,
        peak,
        _median_pause_ms(decode_in_loop),
        _median_pause_ms(decode_in_thread),
        _median_reduce_ms(decode_fleet(document)),
    )


def main() -> None:
    """Parse the arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    for size in _SIZES:
        print(measure_decode(size, seed).line(), flush=True)
    print(f'load average {os.getloadavg()[0]:.1f}')


def _memory(document: bytes) -> tuple[int, int]:
    gc.collect()
    tracemalloc.start()
    fleet = decode_fleet(document)
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del fleet
    return kept, peak


def _median_ms(action: Callable[[], object]) -> float:
    spent = []
    for _ in range(_REPEATS):
        started = time.process_time()
        action()
        spent.append(time.process_time() - started)
    return median(spent) * _MILLISECONDS


def _median_reduce_ms(fleet: Fleet) -> float:
    state = EngineState('domain-1', Random(1))
    later = iter(
        replace(fleet, generation=generation)
        for generation in range(1, _REPEATS + 2)
    )
    reduce(state, FleetChanged(next(later)), 0)
    return _median_ms(lambda: reduce(state, FleetChanged(next(later)), 0))


def _median_pause_ms(action: Callable[[], Awaitable[None]]) -> float:
    pauses = [asyncio.run(_longest_pause(action)) for _ in range(_REPEATS)]
    return median(pauses) * _MILLISECONDS


async def _longest_pause(action: Callable[[], Awaitable[None]]) -> float:
    pauses: list[float] = []
    ticking = asyncio.create_task(_tick(pauses))
    await asyncio.sleep(_SETTLE_SECONDS)
    await action()
    await asyncio.sleep(_SETTLE_SECONDS)
    ticking.cancel()
    return max(pauses)


async def _tick(pauses: list[float]) -> None:
    while True:
        before = time.perf_counter()
        await asyncio.sleep(_TICK_SECONDS)
        pauses.append(time.perf_counter() - before)


if __name__ == '__main__':
    main()
