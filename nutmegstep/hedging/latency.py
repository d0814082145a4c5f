"""Recent latencies of a service, with hedge delay and silence timeout."""

from dataclasses import dataclass, field
from typing import Final

__all__ = ['LatencyWindow', 'silence_timeout']

_WINDOW_ANSWERS: Final = 512
"""Number of answers in the window."""
_ANSWERS_PER_UPDATE: Final = 64
"""Number of answers between two updates of the quantiles. Sorting the window at
each answer would take longer than all other steps of handling it."""
_HEDGE_QUANTILE: Final = 0.95
_P99_QUANTILE: Final = 0.99
_MAX_MEDIANS: Final = 3
"""Longest hedge delay, as a multiple of the median. The p95 of healthy targets
is about twice their median; answers of slow targets that were not hedged can
raise it so far that hedges are sent too late to help."""
_INITIAL_HEDGE_SECONDS: Final = 0.05
"""Hedge delay before the first update."""
_INITIAL_P99_SECONDS: Final = 0.1
"""99th percentile that is assumed before the first update."""
_SILENCE_FACTOR: Final = 4
"""Silence timeout as a multiple of the latency."""
_MIN_SILENCE_SECONDS: Final = 0.05
"""Shortest silence timeout."""


@dataclass(slots=True)
class LatencyWindow:
    """Latencies of the latest answers of a service's targets.

    Parameters
    ----------
    hedge_delay : float
        Time in seconds after which a request is hedged: the 95th percentile,
        but at most three medians. A default before the first update.
    p99 : float
        99th percentile in seconds; a default before the first update.
    median : float
        Median in seconds; 0 before the first update.
    count : int
        Number of answers since the start.
    samples : list of float
        Latencies in seconds of the latest 512 answers, as a ring buffer.

    Notes
    -----
    A cumulative histogram, such as an HDR histogram, would keep the latencies
    of an earlier load for ever; the ring buffer drops them after 512 answers.
    The quantiles are updated every 64 answers.
    """

    hedge_delay: float = _INITIAL_HEDGE_SECONDS
    p99: float = _INITIAL_P99_SECONDS
    median: float = 0
    count: int = 0
    samples: list[float] = field(default_factory=list)

    def add(self, seconds: float) -> None:
        """Add the latency of an answer in seconds."""
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


def silence_timeout(latency: float) -> float:
    """Return the time without a byte after which a target counts as silent.

    The request is then sent to another target or on another connection.

    Parameters
    ----------
    latency : float
        99th percentile of the latencies of a service, or the mean latency of a
        single target, in seconds.

    Returns
    -------
    float
        Timeout in seconds.

    Examples
    --------
    >>> silence_timeout(0.001), silence_timeout(0.1)
    (0.05, 0.4)
    """
    return max(_MIN_SILENCE_SECONDS, latency * _SILENCE_FACTOR)
