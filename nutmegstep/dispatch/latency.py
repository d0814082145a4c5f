"""Running estimates of latency quantiles and of request intervals."""

from typing import Final

__all__ = ['INITIAL_INTERVAL', 'RequestInterval', 'RunningQuantile']

_STEP: Final = 0.05
"""Relative step of an estimate; see `RunningQuantile`. For the 0.95 quantile
the upward step is 4.75 % and the downward step 0.25 %, so that doubling an
estimate takes at least 15 samples and halving it at least 277."""
_INTERVAL_WEIGHT: Final = 0.1
"""Smallest weight of one interval in the mean."""
INITIAL_INTERVAL: Final = 1.0
"""Mean interval in seconds that is assumed before there are samples."""


class RequestInterval:
    """Exponentially weighted mean of the time between requests.

    Parameters
    ----------
    first : float
        Monotonic time of the first request in seconds.

    Attributes
    ----------
    mean : float
        Mean interval in seconds.
    """

    def __init__(self, first: float) -> None:
        self.mean = INITIAL_INTERVAL
        self._latest = first
        self._sample_count = 0

    def observe(self, now: float) -> None:
        """Add a request at monotonic time `now` in seconds."""
        self._sample_count += 1
        # The first ten intervals have equal weights, and the initial value has
        # none. With a constant weight, a VM with many requests would start
        # with too long a mean and report targets although it need not.
        weight = max(_INTERVAL_WEIGHT, 1 / self._sample_count)
        self.mean += weight * (now - self._latest - self.mean)
        self._latest = now


class RunningQuantile:
    """Estimate of one quantile that follows a changing distribution.

    A sample above the estimate raises it by a relative step that is
    proportional to the probability; any other sample lowers it by a relative
    step that is proportional to one minus the probability. On average the
    steps cancel when the estimate is at the quantile.

    Parameters
    ----------
    probability : float
        Probability of the quantile, between 0 and 1.
    initial : float
        Estimate before any sample, in the unit of the samples.

    Attributes
    ----------
    estimate : float
        Current estimate.

    Examples
    --------
    >>> median = RunningQuantile(0.5, initial=1.0)
    >>> for _ in range(200):
    ...     median.observe(4.0)
    >>> round(median.estimate)
    4
    """

    def __init__(self, probability: float, initial: float) -> None:
        self.estimate = initial
        self._up = 1 + _STEP * probability
        self._down = 1 - _STEP * (1 - probability)

    def observe(self, sample: float) -> None:
        """Add a sample."""
        self.estimate *= self._up if sample > self.estimate else self._down
