"""Measurements of targets and the limit of concurrent requests to each."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.model import Fleet, Target

__all__ = ['TargetStats', 'TargetTable']

# Latency that is assumed of a target without a measurement, in seconds.
_INITIAL_LATENCY: Final = 0.01
_FAILED_LATENCY: Final = 1
# A straggler costs the tail of every query until it is known, so that a
# latency above the average counts more than one below it.
_RISING_WEIGHT: Final = 0.5
_DEFAULT_WEIGHT: Final = 0.2
_MIN_LIMIT: Final = 1


@dataclass(slots=True)
class TargetStats:
    """What this VM measured of a target.

    Parameters
    ----------
    max_limit : int
        Upper bound of the limit.
    limit : float
        Requests that this VM may have in flight to the target.
    latency : float
        Moving average in seconds that rises faster than it falls.
    in_flight : int
        Requests without an outcome.

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
        """Count an answer; raises the limit by one per window of answers."""
        self._record_latency(seconds)
        raised = self.limit + 1 / self.limit
        self.limit = raised if raised < self.max_limit else self.max_limit

    def record_cancelled(self, seconds: float) -> None:
        """Count a request that was given up after some seconds.

        Its latency is at least that long; a shorter wait says nothing.
        """
        if seconds > self.latency:
            self._record_latency(seconds)

    def record_overtaken(self, seconds: float) -> None:
        """Count a request that a later one to another replica overtook.

        Its time is taken to be the wait and one more expected latency, the
        mean of exponential times that outlast the wait. The wait alone ends
        at the hedge's answer, so that a straggler would never look slow.
        """
        expected = min(seconds + self.latency, _FAILED_LATENCY)
        self.latency += (expected - self.latency) * _DEFAULT_WEIGHT

    def record_failure(self) -> None:
        """Count a request that failed, as if it had taken a second.

        A target that refuses connections fails quickly; by its latency alone
        it would be the best choice of every query.
        """
        self.record_cancelled(_FAILED_LATENCY)

    def record_shed(self) -> None:
        """Halve the limit after a target refused work."""
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
        """Add new targets, drop removed ones, and apply changed ceilings.

        A ceiling never exceeds the connections that this VM may open: a
        request must not wait for a connection after the decision to send it.
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
