"""Compares measured phases with the goals of the design page."""

from collections.abc import Iterable, Iterator
from typing import Final

from nutmegstep.measure.bench import SIDES, Phase

__all__ = ['goal_lines']

#: Bound on the 99th percentile with stragglers, as a multiple of the quiet one.
_STRAGGLER_RATIO: Final = 1.5
#: Bound on the target requests beyond one per query and shard.
_EXTRA_REQUESTS: Final = 0.05
#: Least goodput at overload, as a share of that at capacity.
_OVERLOAD_GOODPUT: Final = 0.9
#: Bound on the processor time, as a multiple of that of the bare loop.
_BARE_RATIO: Final = 2
#: Percentile that is compared.
_TAIL_PERCENTILE: Final = 99


def goal_lines(phases: Iterable[Phase], bare_us: float = 0) -> list[str]:
    """Return a line for each goal whose phases are given.

    Parameters
    ----------
    phases : Iterable of Phase
        Phases of one run.
    bare_us : float
        Processor time of the bare loop in us per target request; 0 if it was
        not measured.

    Returns
    -------
    list of str
        Measured figure, goal and whether it is met, for each side.
    """
    found = tuple(phases)
    return [
        line
        for side in SIDES
        for line in _side_lines(
            side,
            {
                phase.name.split(':')[0]: phase
                for phase in found
                if phase.side == side
            },
            bare_us,
        )
    ]


def _side_lines(
    side: str,
    by_name: dict[str, Phase],
    bare_us: float,
) -> Iterator[str]:
    quiet = by_name.get('quiet')
    slow = by_name.get('stragglers')
    capacity = by_name.get('capacity')
    overload = by_name.get('overload')
    if quiet and slow:
        ratio = _tail_ms(slow) / max(_tail_ms(quiet), 1)
        yield _line(
            f'{side}: p99 with stragglers {ratio:.2f} times the quiet p99',
            f'at most {_STRAGGLER_RATIO}',
            met=ratio <= _STRAGGLER_RATIO,
        )
        yield _line(
            f'{side}: extra target requests {slow.extra_requests:.2%}',
            f'at most {_EXTRA_REQUESTS:.0%}',
            met=slow.extra_requests <= _EXTRA_REQUESTS,
        )
    if capacity and overload:
        share = overload.load.goodput / max(capacity.load.goodput, 1)
        yield _line(
            f'{side}: goodput at overload {share:.0%} of that at capacity',
            f'at least {_OVERLOAD_GOODPUT:.0%}',
            met=share >= _OVERLOAD_GOODPUT,
        )
    if quiet and bare_us:
        ratio = quiet.microseconds / bare_us
        yield _line(
            f'{side}: processor time {ratio:.2f} times the bare loop',
            f'at most {_BARE_RATIO}',
            met=ratio <= _BARE_RATIO,
        )


def _tail_ms(phase: Phase) -> float:
    return phase.load.quantile_ms(_TAIL_PERCENTILE)


def _line(figure: str, goal: str, *, met: bool) -> str:
    return f'{figure} (goal {goal}): {"met" if met else "MISSED"}'
