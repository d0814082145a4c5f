"""Measures how costs grow with the size of the system.

``python -m nutmegstep.measure.slopes`` prints, for each subject, the figures
at three or more sizes and the slope of a straight line through them.
"""

import argparse
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from statistics import linear_regression
from types import MappingProxyType
from typing import Final

from nutmegstep.measure import costs, slopes_control

__all__ = ['SUBJECTS_BY_NAME', 'Point', 'Slope', 'main', 'measure_slope']

_SHARD_COUNTS: Final = (25, 120, 480)
_TARGET_COUNTS: Final = (1000, 5000, 23000)
# Configurations above 256 KiB are compressed. These sizes all are, because a
# straight line through compressed and uncompressed sizes would be meaningless.
_COMPRESSED_TARGET_COUNTS: Final = (5000, 11000, 23000)
_VM_COUNTS: Final = (6, 60, 600, 4600)
_CLAIM_COUNTS: Final = (1000, 5000, 18000)
_REQUESTED_COUNTS: Final = (0, 8, 64)
_MICROSECONDS: Final = 'us'
_BYTES: Final = 'B'


@dataclass(frozen=True, slots=True)
class Point:
    """Measured figure of a subject at one size."""

    size: int
    figure: float


@dataclass(frozen=True, slots=True)
class Slope:
    """Figures of a subject and the straight line through them.

    Parameters
    ----------
    subject : str
        Name of what was measured.
    unit : str
        Unit of the figures.
    against : str
        Name of the items that the size counts, such as shards.
    points : tuple of Point
        Figures at three or more sizes.
    """

    subject: str
    unit: str
    against: str
    points: tuple[Point, ...]

    @property
    def per_item(self) -> float:
        """Slope of the least-squares line: growth of the figure per item."""
        return linear_regression(
            [point.size for point in self.points],
            [point.figure for point in self.points],
        ).slope


@dataclass(frozen=True, slots=True)
class Subject:
    """Something that can be measured at different sizes.

    Parameters
    ----------
    unit : str
        Unit of the figures.
    against : str
        Name of the items that a size counts.
    sizes : tuple of int
        Sizes that are measured by default.
    measure : Callable
        Returns the figure at a size.
    """

    unit: str
    against: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


def measure_slope(name: str, sizes: Iterable[int] = ()) -> Slope:
    """Measure a subject at several sizes.

    Parameters
    ----------
    name : str
        Key of `SUBJECTS_BY_NAME`.
    sizes : Iterable of int
        Sizes to measure instead of those of the subject.

    Returns
    -------
    Slope
        The figures and their unit.
    """
    subject = SUBJECTS_BY_NAME[name]
    points = tuple(
        Point(size, subject.measure(size))
        for size in tuple(sizes) or subject.sizes
    )
    return Slope(name, subject.unit, subject.against, points)


def _by_shards(unit: str, measure: Callable[[int], float]) -> Subject:
    return Subject(unit, 'shard', _SHARD_COUNTS, measure)


def _by_targets(unit: str, measure: Callable[[int], float]) -> Subject:
    return Subject(unit, 'target', _TARGET_COUNTS, measure)


def _by_vms(unit: str, measure: Callable[[int], float]) -> Subject:
    return Subject(unit, 'VM', _VM_COUNTS, measure)


def _by_claims(unit: str, measure: Callable[[int], float]) -> Subject:
    return Subject(unit, 'claim', _CLAIM_COUNTS, measure)


#: What can be measured, by name.
SUBJECTS_BY_NAME: Final[Mapping[str, Subject]] = MappingProxyType(
    {
        'reducer time of a query': _by_shards(
            _MICROSECONDS, costs.query_time_by_shards
        ),
        'reducer time, 25 shards': _by_targets(
            _MICROSECONDS, costs.query_time_by_targets
        ),
        'memory of a query in flight': _by_shards(_BYTES, costs.query_memory),
        'memory of the state': _by_targets(_BYTES, costs.state_memory),
        'configuration size': Subject(
            _BYTES, 'target', _COMPRESSED_TARGET_COUNTS, costs.fleet_bytes
        ),
        'configuration encode': _by_targets(_MICROSECONDS, costs.fleet_encode),
        'configuration decode': _by_targets(_MICROSECONDS, costs.fleet_decode),
        'catalogue size': _by_shards(_BYTES, costs.catalogue_bytes),
        'catalogue encode': _by_shards(_MICROSECONDS, costs.catalogue_encode),
        'catalogue decode': _by_shards(_MICROSECONDS, costs.catalogue_decode),
        'versions of a message': _by_vms(
            _MICROSECONDS, slopes_control.versions_time
        ),
        'exchange without gRPC': _by_vms(
            _MICROSECONDS, slopes_control.exchange_time
        ),
        'VM list in a fetch': _by_vms(_BYTES, slopes_control.list_bytes),
        'memory of the membership': _by_vms(_BYTES, slopes_control.list_memory),
        'heartbeat size': Subject(
            _BYTES, 'target', _REQUESTED_COUNTS, slopes_control.heartbeat_bytes
        ),
        'claim journal size': _by_claims(_BYTES, slopes_control.journal_bytes),
        'claim journal in memory': _by_claims(
            _BYTES, slopes_control.journal_memory
        ),
        'claim journal rewrite': _by_claims(
            _MICROSECONDS, slopes_control.journal_time
        ),
    },
)


def main() -> None:
    """Parse the arguments, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', help='name of one subject')
    only = parser.parse_args().only
    for name in (only,) if only else SUBJECTS_BY_NAME:
        slope = measure_slope(name)
        figures = '  '.join(
            f'{point.size}: {point.figure:.0f}' for point in slope.points
        )
        print(
            f'{slope.subject:<28} {figures}  -> {slope.per_item:.3f} '
            f'{slope.unit} per {slope.against}',
            flush=True,
        )


if __name__ == '__main__':
    main()
