"""Mean of recent samples that returns to a default value without new ones."""

import math
from dataclasses import dataclass, field

__all__ = ['DecayingMean']


@dataclass(slots=True)
class DecayingMean:
    """Exponentially weighted mean that decays to a default value.

    Between samples the difference from the default value is halved once per
    half-life.

    Parameters
    ----------
    weight : float
        Weight of a new sample, between 0 and 1.
    rest : float
        Default value, in the unit of the samples.

    Examples
    --------
    >>> mean = DecayingMean(weight=0.5, rest=0)
    >>> mean.observe(8, now=10, half_life=2)
    >>> mean.at(10, half_life=2), mean.at(12, half_life=2)
    (4.0, 2.0)
    """

    weight: float
    rest: float
    _deviation: float = field(default=0, init=False)
    _updated: float = field(default=0, init=False)

    def at(self, now: float, half_life: float) -> float:
        """Return the mean at a point in time.

        Parameters
        ----------
        now : float
            Monotonic time in seconds, not before the latest sample.
        half_life : float
            Half-life in seconds.
        """
        elapsed = now - self._updated
        return self.rest + self._deviation * math.exp2(-elapsed / half_life)

    def restart(self, mean: float, now: float) -> None:
        """Replace the mean; it decays from `now` on."""
        self._deviation = mean - self.rest
        self._updated = now

    def observe(self, sample: float, now: float, half_life: float) -> None:
        """Add a sample.

        Parameters
        ----------
        sample : float
            Value of the sample.
        now : float
            Monotonic time in seconds, not before the latest sample.
        half_life : float
            Half-life in seconds.
        """
        before = self.at(now, half_life)
        mean = before + self.weight * (sample - before)
        self._deviation = mean - self.rest
        self._updated = now
