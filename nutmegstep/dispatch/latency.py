"""Running quantiles of latencies."""

from typing import Final

__all__ = ['INITIAL_INTERVAL', 'RequestInterval', 'RunningQuantile']

_STEP: Final = 0.05
"""Relative step of an estimate for each sample; about 60 samples cover a
change by a factor of two at the 0.95 quantile's downward side."""


_INTERVAL_WEIGHT: Final = 0.1
"""Weight of one gap between requests."""
INITIAL_INTERVAL: Final = 1.0
"""Seconds between requests that are assumed at first."""


class RequestInterval:
    """Mean time between requests.

    Parameters
    ----------
    first : float
        Monotonic instant of the first request.

    Attributes
    ----------
    mean : float
        Mean time in seconds.
    """

    def __init__(self, first: float) -> None:
        self.mean = INITIAL_INTERVAL
        self._latest = first
        self._sample_count = 0

    def observe(self, now: float) -> None:
        """Take a request."""
        self._sample_count += 1
        # The first gaps count as much as each other, so that a busy VM does
        # not take itself for a quiet one.
        weight = max(_INTERVAL_WEIGHT, 1 / self._sample_count)
        self.mean += weight * (now - self._latest - self.mean)
        self._latest = now


class RunningQuantile:
    """Estimate of one quantile that follows a changing distribution.

    Each sample moves the estimate by a relative step, up by the probability
    and down by its complement, so that it settles where the samples above
    and below balance.

    Parameters
    ----------
    probability : float
        Between 0 and 1.
    first : float
        Estimate before any sample, in the unit of the samples.

    Attributes
    ----------
    estimate : float
        Current estimate.

    Examples
    --------
    >>> median = RunningQuantile(0.5, first=1.0)
    >>> for _ in range(200):
    ...     median.observe(4.0)
    >>> round(median.estimate)
    4
    """

    def __init__(self, probability: float, first: float) -> None:
        self.estimate = first
        self._up = 1 + _STEP * probability
        self._down = 1 - _STEP * (1 - probability)

    def observe(self, sample: float) -> None:
        """Take a sample."""
        self.estimate *= self._up if sample > self.estimate else self._down
