"""Tests of the comparison of phases with the goals."""

from nutmegstep.measure.bench import Phase
from nutmegstep.measure.goals import goal_lines
from nutmegstep.measure.load import LoadResult


def _phase(name: str, latency_us: int, whole: int = 100) -> Phase:
    load = LoadResult(seconds=1, whole=whole)
    load.latency.record_value(latency_us)
    return Phase('product', name, load, whole * 25, 0, 0.5, 0, 25)


def test_missed_goals_are_named() -> None:
    """Guards against reporting a goal as met although the figure misses it."""
    phases = [
        _phase('quiet', 10_000),
        _phase('stragglers', 16_000),
        _phase('capacity:8', 10_000, whole=100),
        _phase('overload', 10_000, whole=89),
    ]
    lines = goal_lines(phases, bare_us=99)
    assert [line.rsplit(' ', 1)[-1] for line in lines] == [
        'MISSED',
        'met',
        'MISSED',
        'MISSED',
    ]


def test_goals_without_their_phases_are_left_out() -> None:
    """Guards against judging a goal whose phases were not measured."""
    assert goal_lines([_phase('quiet', 10_000)]) == []
