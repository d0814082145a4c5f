"""Mean of recent samples that returns to a resting value without new ones."""

import math
from dataclasses import dataclass, field

__all__ = ['DecayingMean']


@dataclass(slots=True)
class DecayingMean:
    """Weighted mean of samples whose deviation fades with time.

    Parameters
    ----------
    weight : float
        Weight of one sample, between 0 and 1.
    rest : float
        Value without samples, in their unit.

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
        """Return the mean at an instant; `half_life` in seconds."""
        elapsed = now - self._updated
        return self.rest + self._deviation * math.exp2(-elapsed / half_life)

    def observe(self, sample: float, now: float, half_life: float) -> None:
        """Take a sample at an instant; `half_life` in seconds."""
        before = self.at(now, half_life)
        mean = before + self.weight * (sample - before)
        self._deviation = mean - self.rest
        self._updated = now
