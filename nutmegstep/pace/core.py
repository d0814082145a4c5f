"""Pace of a target that has just started or recovered.

A VM treats a share of its requests as if the target were warm, and avoids the
target with the others. Answers as fast as those of its peers double the share;
others halve it. A share, not a number of requests, adds up over all VMs without
messages: if each gives the target a quarter of what it would give a warm one,
the target gets a quarter of its load, however many VMs there are.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass
from statistics import median
from typing import Final

__all__ = ['Pace', 'is_as_fast', 'peers_slowness']

_FIRST_SHARE: Final = 0.25
"""Share of its load that a target gets on its return: two answers as fast as
those of its peers show that it bears more before it gets all."""
_LEAST_SHARE: Final = 0.05
"""Smallest share; ordinary requests go on to show whether it has recovered."""
_INCREASE: Final = 2.0
"""Factor on the share after an answer as fast as those of the peers."""
_DECREASE: Final = 0.5
"""Factor on the share after a slower answer."""
_RATIO_WEIGHT: Final = 0.3
"""Weight of one answer in the mean slowness since the return."""
_MAX_RATIO: Final = 5.0
"""Upper bound of one answer in that mean, as in the health of a target."""
_IDLE_HALF_LIVES: Final = 2.0
"""Half-lives of the health estimates without an answer after which a target
gets all of its load. Only VMs with very few requests wait for it."""
_TOLERANCE: Final = 2.0
"""Answers up to this multiple of the peers' mean are as fast as theirs. Service
times of one target vary by half, and its speed may be a third below the mean."""


@dataclass(slots=True)
class Pace:
    """Share of its load that one target gets from this VM.

    Attributes
    ----------
    cause : str
        Why the target is paced: ``'cold'``, ``'restarted'``, ``'regained'``
        or ``'fast_again'``; empty while it is not paced.
    """

    cause: str = ''
    _share: float = 1
    _changed_at: float = -math.inf
    _slowness: float = 1

    def begin(self, cause: str, now: float) -> None:
        """Begin with a small share; what was known of the target is void.

        Parameters
        ----------
        cause : str
            Why the target is paced.
        now : float
            Monotonic time in seconds, or a later one from which the share
            rises without answers, such as the end of a cold period.
        """
        self.cause = cause
        self._share = _FIRST_SHARE
        self._changed_at = now
        self._slowness = 1

    def end(self) -> None:
        """Leave the target to the estimates of its health."""
        self.cause = ''

    def is_active(self, now: float, half_life: float) -> bool:
        """Return whether the target gets less than its load."""
        return bool(self.cause) and self.share(now, half_life) < 1

    def share(self, now: float, half_life: float) -> float:
        """Return the share of the requests that treat the target as warm.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        half_life : float
            Half-life of the estimates of the target's health in seconds.
        """
        if not self.cause:
            return 1
        idle = max(0, now - self._changed_at) / (half_life * _IDLE_HALF_LIVES)
        return min(1, self._share + idle)

    @property
    def slowness(self) -> float:
        """Mean latency since the return, as a multiple of the median."""
        return self._slowness

    def observe(self, ratio: float, peers: float, now: float) -> bool:
        """Change the share after an answer; return whether the pace is over.

        Parameters
        ----------
        ratio : float
            Latency of the answer over the route's median; infinite for a
            failure.
        peers : float
            Slowness of the warm peers, see `peers_slowness`.
        now : float
            Monotonic time in seconds.
        """
        sample = min(ratio, _MAX_RATIO)
        self._slowness += _RATIO_WEIGHT * (sample - self._slowness)
        self._changed_at = max(self._changed_at, now)
        if is_as_fast(ratio, peers):
            self._share *= _INCREASE
        else:
            self._share = max(_LEAST_SHARE, self._share * _DECREASE)
        return self._share >= 1


def is_as_fast(ratio: float, peers: float) -> bool:
    """Return whether an answer was as fast as those of the warm peers.

    Examples
    --------
    >>> is_as_fast(1.6, peers=1), is_as_fast(4, peers=1), is_as_fast(4, peers=3)
    (True, False, True)
    """
    return ratio <= _TOLERANCE * peers


def peers_slowness(slowness: Collection[float]) -> float:
    """Return what to compare a target with, in medians of the route.

    While a failure domain is away its peers bear its load and are slow, and a
    target that returns must not wait until it is faster than they usually are.

    Parameters
    ----------
    slowness : collection of float
        Slowness of the warm peers; empty if there are none, as after a power
        cut.
    """
    return max(1, median(slowness)) if slowness else 1
