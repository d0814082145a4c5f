"""Loads entry processes until they use their targets."""

from collections.abc import AsyncIterator
from typing import Final

from nutmegstep.measure.bench import Bench, Phase, measure_phase
from nutmegstep.measure.load import LoadResult, run_open_loop

__all__ = ['warm_up']

#: Answers must be whole for this long before the next phase begins.
WHOLE_SECONDS: Final = 3
#: A new entry process sends nothing to cold targets for 5 s, then ramps.
MOST_SECONDS: Final = 30
_WINDOW_SECONDS: Final = 0.5


async def warm_up(bench: Bench, side: str = 'product') -> AsyncIterator[Phase]:
    """Load a side quietly until its answers stay whole.

    Only the product distinguishes cold targets; the baseline is ready with
    its connections.

    Parameters
    ----------
    bench : Bench
        Gets a note with the time that it took.
    side : str, optional
        Side that is loaded.
    """
    phase = await measure_phase(
        bench,
        side,
        'warm-up',
        _load_until_whole(bench, side),
    )
    whole = 'whole' if phase.load.seconds < MOST_SECONDS else 'NOT whole'
    bench.notes.append(
        f'warm-up, {side}: answers {whole} for {WHOLE_SECONDS} s after '
        f'{phase.load.seconds:.1f} s of load',
    )
    yield phase


async def _load_until_whole(bench: Bench, side: str) -> LoadResult:
    generator = bench.generator(side)
    rate = bench.quiet_rate(side)
    total = LoadResult()
    whole_seconds: float = 0
    while whole_seconds < WHOLE_SECONDS and total.seconds < MOST_SECONDS:
        window = await run_open_loop(generator, rate, _WINDOW_SECONDS)
        is_whole = window.whole == window.attempts
        whole_seconds = whole_seconds + _WINDOW_SECONDS if is_whole else 0
        total.include(window)
    return total
