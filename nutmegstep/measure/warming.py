"""Loads entry processes until they have warmed up their targets."""

from collections.abc import AsyncIterator
from typing import Final

from nutmegstep.measure.bench import Bench, Phase, measure_phase
from nutmegstep.measure.load import LoadResult, run_open_loop

__all__ = ['warm_up']

#: Time for which all answers must be whole before the warm-up ends.
WHOLE_SECONDS: Final = 3
#: Maximum length of the warm-up. A new entry process sends nothing to cold
#: targets for 5 s and then increases the load step by step.
MAX_SECONDS: Final = 30
_WINDOW_SECONDS: Final = 0.5


async def warm_up(bench: Bench, side: str = 'product') -> AsyncIterator[Phase]:
    """Load a side at the quiet rate until all answers are whole for 3 s.

    The warm-up ends after 30 s at the latest. Only the product treats cold
    targets differently; the baseline needs no more than its connections.

    Parameters
    ----------
    bench : Bench
        Processes to load; a note with the length of the warm-up is added.
    side : str, optional
        Element of `SIDES`.
    """
    phase = await measure_phase(
        bench,
        side,
        'warm-up',
        _load_until_whole(bench, side),
    )
    whole = 'whole' if phase.load.seconds < MAX_SECONDS else 'NOT whole'
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
    while whole_seconds < WHOLE_SECONDS and total.seconds < MAX_SECONDS:
        window = await run_open_loop(generator, rate, _WINDOW_SECONDS)
        is_whole = window.whole == window.attempts
        whole_seconds = whole_seconds + _WINDOW_SECONDS if is_whole else 0
        total.add(window)
    return total
