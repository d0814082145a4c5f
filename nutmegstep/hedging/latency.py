"""Recent latencies of a service and the delays that follow from them."""

from dataclasses import dataclass, field
from typing import Final

__all__ = ['LatencyWindow', 'silence_timeout']

_WINDOW_ANSWERS: Final = 512
# Sorting the window on each answer would cost more than the whole decision.
_ANSWERS_PER_UPDATE: Final = 64
_HEDGE_QUANTILE: Final = 0.95
_P99_QUANTILE: Final = 0.99
# Answers of stragglers that were not hedged raise the p95 until hedges come
# too late to help; the p95 of healthy targets is about twice their median.
_MAX_MEDIANS: Final = 3
_INITIAL_HEDGE_SECONDS: Final = 0.05
_INITIAL_P99_SECONDS: Final = 0.1
_SILENCE_FACTOR: Final = 4
_MIN_SILENCE_SECONDS: Final = 0.05


@dataclass(slots=True)
class LatencyWindow:
    """The latest target request latencies of a service.

    Parameters
    ----------
    hedge_delay : float
        The p95 in seconds, at most three medians; a default until enough
        answers were counted.
    p99 : float
        The p99 in seconds.
    median : float
        The median in seconds; 0 until enough answers were counted.

    Notes
    -----
    A histogram without decay, as HDR histograms are, would keep the p95 of an
    earlier load; the ring forgets after 512 answers.
    """

    hedge_delay: float = _INITIAL_HEDGE_SECONDS
    p99: float = _INITIAL_P99_SECONDS
    median: float = 0
    count: int = 0
    samples: list[float] = field(default_factory=list)

    def add(self, seconds: float) -> None:
        """Count an answer."""
        if len(self.samples) < _WINDOW_ANSWERS:
            self.samples.append(seconds)
        else:
            self.samples[self.count % _WINDOW_ANSWERS] = seconds
        self.count += 1
        if self.count % _ANSWERS_PER_UPDATE == 0:
            ordered = sorted(self.samples)
            self.median = ordered[len(ordered) // 2]
            self.hedge_delay = min(
                ordered[int(len(ordered) * _HEDGE_QUANTILE)],
                self.median * _MAX_MEDIANS,
            )
            self.p99 = ordered[int(len(ordered) * _P99_QUANTILE)]


def silence_timeout(p99: float) -> float:
    """Return after how many seconds without a byte a request moves.

    Examples
    --------
    >>> silence_timeout(0.001), silence_timeout(0.1)
    (0.05, 0.4)
    """
    return max(_MIN_SILENCE_SECONDS, p99 * _SILENCE_FACTOR)
