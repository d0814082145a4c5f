"""Tests of the measurement of slopes."""

import pytest

from nutmegstep.measure.slopes import (
    SUBJECTS_BY_NAME,
    Point,
    Slope,
    measure_slope,
)


def test_slope_is_that_of_the_line() -> None:
    """Guards against adding the constant cost to the cost per item."""
    points = (Point(1, 7), Point(2, 9), Point(4, 13))
    assert Slope('size', 'B', 'shard', points).per_item == pytest.approx(2)


@pytest.mark.parametrize('name', SUBJECTS_BY_NAME)
def test_each_subject_gives_a_figure(name: str) -> None:
    """Guards against a subject that calls the product in an outdated way."""
    slope = measure_slope(name, (3, 6, 9))
    assert [point.size for point in slope.points] == [3, 6, 9]
    assert all(point.figure > 0 for point in slope.points)


def test_every_subject_has_three_sizes() -> None:
    """Guards against a line through two points, which cannot show a curve."""
    sizes = [len(subject.sizes) for subject in SUBJECTS_BY_NAME.values()]
    assert min(sizes) >= 3
