"""Sequential test of a new version against the old one beside it.

Each answer is good or bad; bad ones have failed or took several times the median
of their route. The old version's share of bad answers, at the same service and
time, is what a good version would have. A bad one has a fifth more at least.

Trouble of a single target is not blamed on its version: the target with the most
evidence is left out, unless it is the only one.
"""

import enum
import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

__all__ = ['ERROR_BAD', 'ERROR_GOOD', 'Evidence', 'Verdict']

ERROR_BAD: Final = 0.001
"""Stated rate at which a good version is taken for a bad one."""
ERROR_GOOD: Final = 0.01
"""Stated rate at which a bad version is taken for a good one."""
_BAD_AT: Final = math.log((1 - ERROR_GOOD) / ERROR_BAD)
_GOOD_AT: Final = math.log(ERROR_GOOD / (1 - ERROR_BAD))
_ADDED_SHARE: Final = 1 / 5
"""Additional share of bad answers of a bad version."""
_PRIOR_ANSWERS: Final = 25.0
_PRIOR_BAD: Final = 0.5
"""Answers, and bad ones among them, that the old version is assumed to have
given; they count until it has answered more."""
_MAX_OLD_SHARE: Final = 0.6
_OLD_HALF_LIFE: Final = 4.0
"""Seconds after which answers of the old version count half."""
_LEANS_AT: Final = 3.0
"""Evidence with which an undecided test leans to a bad version."""
_MIN_GOOD: Final = 5
"""Good answers without which nothing is moved, if the service has traffic."""
_MIN_TRAFFIC: Final = 20
"""Answers of both versions from which a service counts as one with traffic."""
_ALL_ROUTES: Final = ''


@enum.unique
class Verdict(enum.Enum):
    """What the answers say about a version."""

    GOOD = 'good'
    BAD = 'bad'
    OPEN = 'open'


class Evidence:
    """Answers of both versions of one service, and the test on them.

    Attributes
    ----------
    good, bad : int
        Answers of the new version.
    ratio : float
        Logarithm of the likelihood of a bad version over that of a good one.
    """

    def __init__(self) -> None:
        self.good = 0
        self.bad = 0
        self.ratio = float(0)
        self._old_good = float(0)
        self._old_bad = float(0)
        self._old_at = float(0)
        self._sums: dict[str, dict[str, float]] = defaultdict(dict)

    @property
    def answers(self) -> int:
        """Number of answers of the new version."""
        return self.good + self.bad

    @property
    def targets(self) -> int:
        """Number of targets of the new version that have answered."""
        return len(self._sums[_ALL_ROUTES])

    @property
    def is_scarce(self) -> bool:
        """Whether hardly any answer is good although the service has traffic."""
        answers = self.answers + self._old_good + self._old_bad
        return answers >= _MIN_TRAFFIC and self.good < _MIN_GOOD

    @property
    def old_share(self) -> float:
        """Share of bad answers of the old version, from above 0 to 0.6."""
        answers = self._old_good + self._old_bad + _PRIOR_ANSWERS
        return min(_MAX_OLD_SHARE, (self._old_bad + _PRIOR_BAD) / answers)

    def add_old(self, good: int, bad: int, now: float) -> None:
        """Add answers of the old version.

        Without any, what is known stays as it is: after the move nothing else
        tells what is usual.
        """
        if not good and not bad:
            return
        factor = 0.5 ** (max(0, now - self._old_at) / _OLD_HALF_LIFE)
        self._old_good = self._old_good * factor + good
        self._old_bad = self._old_bad * factor + bad
        self._old_at = now

    def add_new(self, target_id: str, route: str, good: int, bad: int) -> None:
        """Add answers of a target of the new version."""
        self.good += good
        self.bad += bad
        expected = self.old_share
        suspected = expected + _ADDED_SHARE * (1 - expected)
        change = good * math.log((1 - suspected) / (1 - expected))
        change += bad * math.log(suspected / expected)
        self.ratio += change
        for name in (_ALL_ROUTES, route):
            sums = self._sums[name]
            # The sum starts anew at 0, so that a version that turns bad later
            # does not profit from its earlier answers.
            sums[target_id] = max(0, sums.get(target_id, 0) + change)

    @property
    def suspicion(self) -> float:
        """Evidence against the version, on its worst route."""
        return max(map(_without_worst, self._each_sums()), default=0)

    @property
    def leans_bad(self) -> bool:
        """Whether the answers say rather that the version is bad."""
        return self.suspicion >= _LEANS_AT

    @property
    def verdict(self) -> Verdict:
        """What the answers say now."""
        if self.suspicion >= _BAD_AT:
            return Verdict.BAD
        if self.ratio <= _GOOD_AT and self.suspicion < _BAD_AT / 2:
            return Verdict.GOOD
        return Verdict.OPEN

    def _each_sums(self) -> Iterable[tuple[float, ...]]:
        return (tuple(sums.values()) for sums in self._sums.values())


def _without_worst(sums: tuple[float, ...]) -> float:
    if len(sums) == 1:
        return sums[0]
    return math.fsum(sums) - max(sums)
