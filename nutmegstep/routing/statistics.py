"""Latency statistics of targets and limits of the requests in flight."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.model import Fleet, Target

__all__ = ['TargetStats', 'TargetTable']

_INITIAL_LATENCY: Final = 0.01
"""Mean latency in seconds that is assumed before there are measurements."""
_FAILED_LATENCY: Final = 1
"""Latency in seconds that a failed request counts as."""
_RISING_WEIGHT: Final = 0.5
"""Weight of a latency above the mean. It is the larger one because a slow
target delays every query that is sent to it until its mean has risen."""
_DEFAULT_WEIGHT: Final = 0.2
"""Weight of a latency below the mean, and of an estimated one."""
_MIN_LIMIT: Final = 1
"""Lower bound of the limit of requests in flight."""


@dataclass(slots=True)
class TargetStats:
    """Latency of one target and limit of this VM's requests in flight to it.

    Parameters
    ----------
    max_limit : int
        Upper bound of `limit`.
    limit : float
        Maximum number of requests that this VM may have in flight to the
        target. It is raised by answers and halved when the target sheds a
        request.
    latency : float
        Exponentially weighted mean latency in seconds, which rises faster than
        it falls.
    in_flight : int
        Number of requests in flight.

    Examples
    --------
    >>> stats = TargetStats(max_limit=4, limit=4)
    >>> stats.record_shed()
    >>> stats.limit
    2.0
    """

    max_limit: int
    limit: float
    latency: float = _INITIAL_LATENCY
    in_flight: int = 0

    @property
    def has_free_slot(self) -> bool:
        """Whether another request may be sent."""
        return self.in_flight < int(self.limit)

    def record_answer(self, seconds: float) -> None:
        """Record the latency of an answer and raise the limit.

        The limit grows by the inverse of its value, that is by about one for
        as many answers as it allows requests in flight.
        """
        self._record_latency(seconds)
        raised = self.limit + 1 / self.limit
        self.limit = raised if raised < self.max_limit else self.max_limit

    def record_cancelled(self, seconds: float) -> None:
        """Record a request that was cancelled after a time without an answer.

        Its latency would have been at least that long. A time below the mean
        latency is ignored, as it does not show whether the target is slow.
        """
        if seconds > self.latency:
            self._record_latency(seconds)

    def record_overtaken(self, seconds: float) -> None:
        """Record a request that was cancelled because its hedge was answered.

        Its latency is estimated as the time waited plus the mean latency, which
        is the expected value if latencies are exponentially distributed. The
        time waited alone ends with the answer to the hedge, so that a slow
        target that is always hedged would never look slow.
        """
        expected = min(seconds + self.latency, _FAILED_LATENCY)
        self.latency += (expected - self.latency) * _DEFAULT_WEIGHT

    def record_failure(self) -> None:
        """Record a failed request like one that took one second.

        A target that refuses connections fails at once. With its true latency
        it would look like the fastest replica and get all requests.
        """
        self.record_cancelled(_FAILED_LATENCY)

    def record_shed(self) -> None:
        """Halve the limit after the target has shed a request."""
        self.limit = max(_MIN_LIMIT, self.limit / 2)

    def _record_latency(self, seconds: float) -> None:
        rising = seconds > self.latency
        weight = _RISING_WEIGHT if rising else _DEFAULT_WEIGHT
        self.latency += (seconds - self.latency) * weight


@dataclass(slots=True)
class TargetTable:
    """Statistics of all targets of the configuration in force."""

    stats_by_name: dict[str, TargetStats] = field(default_factory=dict)

    def apply_fleet(self, fleet: Fleet) -> None:
        """Add new targets, remove old ones and apply changed upper limits.

        The upper limit of a target never exceeds the number of connections
        that this VM may open to it; otherwise a request could be sent to the
        target and then wait for a connection.
        """
        self.stats_by_name = dict(self._updated_stats(fleet))

    def _updated_stats(self, fleet: Fleet) -> Iterable[tuple[str, TargetStats]]:
        for target in fleet.targets_by_name.values():
            max_limit = _max_limit(target, fleet.entry_vms_max)
            known = self.stats_by_name.get(target.name)
            if known is None:
                known = TargetStats(max_limit, max_limit)
            known.max_limit = max_limit
            known.limit = min(known.limit, max_limit)
            yield target.name, known


def _max_limit(target: Target, entry_vms_max: int) -> int:
    connections = target.connections // (2 * entry_vms_max)
    return max(_MIN_LIMIT, min(target.slots, connections))
