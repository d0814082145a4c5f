"""What ordinary traffic teaches about a target."""

import math
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.dispatch.decaying import DecayingMean
from nutmegstep.dispatch.suspicion import Suspicion

__all__ = ['TargetHealth']

_LATENCY_WEIGHT: Final = 0.2
"""Weight of one latency sample."""
_RATIO_MAX: Final = 5.0
"""Largest sample of slowness; a single pause must not outweigh many replies."""
_FAILURE_WEIGHT: Final = 0.4
"""Weight of one success or failure."""
_HALF_LIFE_REQUESTS: Final = 20.0
"""Requests for the service after which a deviation counts half, so that a
target that was avoided is tried again by a small share of the traffic."""
_HALF_LIFE_MIN: Final = 1.0
_HALF_LIFE_MAX: Final = 8.0
"""Bounds of that time in seconds."""
_FIRST_BACKOFF: Final = 0.1
"""Seconds without sends after a first failed connection."""
_LONGEST_BACKOFF: Final = 1.0
"""Seconds without sends after many failed connections."""
_BACKOFF_STEPS: Final = 4


@dataclass(slots=True)
class TargetHealth:
    """Learned state of one target.

    Parameters
    ----------
    started_ms : int
        Incarnation that the state belongs to.

    Attributes
    ----------
    stalls_at_by_send : dict
        Instants at which sends in flight count as stalled, oldest first.
    failures : int
        Consecutive failures.
    blocked_until : float
        Monotonic instant before which nothing is sent.
    cold_tokens : float
        Sends that the target may get while it is cold.
    cold_updated : float
        Monotonic instant of the latest change of `cold_tokens`.
    half_life : float
        Seconds after which a deviation counts half.
    suspicion : Suspicion
        What the VMs of the failure domain report.
    """

    started_ms: int
    stalls_at_by_send: dict[int, float] = field(default_factory=dict)
    failures: int = 0
    blocked_until: float = 0
    cold_tokens: float = 1
    cold_updated: float = 0
    half_life: float = _HALF_LIFE_MAX
    suspicion: Suspicion = field(default_factory=Suspicion)
    _slowness: DecayingMean = field(
        default_factory=lambda: DecayingMean(_LATENCY_WEIGHT, rest=1),
    )
    _failures: DecayingMean = field(
        default_factory=lambda: DecayingMean(_FAILURE_WEIGHT, rest=0),
    )

    @property
    def in_flight(self) -> int:
        """Number of sends without an outcome."""
        return len(self.stalls_at_by_send)

    def slowness(self, now: float) -> float:
        """Return the latency relative to that of the route's targets."""
        return self._slowness.at(now, self.half_life)

    def failure_rate(self, now: float) -> float:
        """Return the share of recent sends that failed."""
        return self._failures.at(now, self.half_life)

    def is_stalled(self, now: float) -> bool:
        """Whether the oldest send waits for longer than is usual."""
        oldest = next(iter(self.stalls_at_by_send.values()), math.inf)
        return oldest <= now

    def is_blocked(self, now: float) -> bool:
        """Whether nothing may be sent, or only one trial that is under way."""
        if now < self.blocked_until:
            return True
        return self.failures > 0 and self.in_flight > 0

    def set_pace(self, gap: float) -> None:
        """Take the mean time in seconds between requests for the service."""
        half_life = gap * _HALF_LIFE_REQUESTS
        self.half_life = min(max(half_life, _HALF_LIFE_MIN), _HALF_LIFE_MAX)

    def observe_reply(self, ratio: float, now: float) -> None:
        """Take the latency of a reply, relative to the route's median."""
        sample = min(ratio, _RATIO_MAX)
        self._slowness.observe(sample, now, self.half_life)
        self.failures = 0
        self._failures.observe(0, now, self.half_life)

    def observe_rejection(self, now: float) -> None:
        """Take a reply that is a failure or says that nothing ran."""
        self.failures = 0
        self._failures.observe(1, now, self.half_life)

    def observe_loss(self, now: float) -> None:
        """Take a send that ended without a reply."""
        steps = min(self.failures, _BACKOFF_STEPS)
        backoff = min(_FIRST_BACKOFF * 2**steps, _LONGEST_BACKOFF)
        self.failures += 1
        self.blocked_until = now + backoff
        self._failures.observe(1, now, self.half_life)
