"""Running latency estimates of a route and its hedge delay."""

from typing import Final

from nutmegstep.dispatch.latency import RunningQuantile

__all__ = ['RouteLatency']

_HEDGE_PROBABILITY: Final = 0.95
"""Quantile of the latencies that is used as hedge delay."""
_MEDIAN: Final = 0.5
_INITIAL_MEDIAN_SHARE: Final = 0.2
"""Initial median of a route, as a share of its target latency."""
_INITIAL_HEDGE_SHARE: Final = 0.4
"""Initial hedge delay of a route, as a share of its target latency."""
_MAX_HEDGE_SHARE: Final = 0.4
"""Longest hedge delay, as a share of the target latency; the time that remains
must suffice for the reply of the second target."""
_MIN_HEDGE_MEDIANS: Final = 1.3
"""Shortest hedge delay, as a multiple of the median latency."""


class RouteLatency:
    """Running latency estimates of the targets of one route.

    Parameters
    ----------
    target_latency : float
        Target latency of the route in seconds.
    """

    def __init__(self, target_latency: float) -> None:
        self._median = RunningQuantile(
            _MEDIAN,
            target_latency * _INITIAL_MEDIAN_SHARE,
        )
        self._hedge = RunningQuantile(
            _HEDGE_PROBABILITY,
            target_latency * _INITIAL_HEDGE_SHARE,
        )
        self._longest = target_latency * _MAX_HEDGE_SHARE

    @property
    def median(self) -> float:
        """Median latency in seconds."""
        return self._median.estimate

    @property
    def hedge_delay(self) -> float:
        """Time in seconds after which a second target is sent the request."""
        shortest = self._median.estimate * _MIN_HEDGE_MEDIANS
        return min(max(self._hedge.estimate, shortest), self._longest)

    def observe(self, seconds: float) -> None:
        """Add the latency of a reply in seconds."""
        self._median.observe(seconds)
        self._hedge.observe(min(seconds, self._longest * 2))
