"""What ordinary traffic teaches about a target."""

import math
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.dispatch.decaying_mean import DecayingMean
from nutmegstep.dispatch.suspicion import Suspicion

__all__ = ['TargetHealth']

_LATENCY_WEIGHT: Final = 0.2
"""Weight of one latency sample."""
_MAX_RATIO: Final = 5.0
"""Largest sample of slowness; a single pause must not outweigh many replies."""
_FAILURE_WEIGHT: Final = 0.4
"""Weight of one success or failure."""
_HALF_LIFE_REQUESTS: Final = 20.0
"""Requests for the service after which a deviation counts half, so that a
target that was avoided is tried again by a small share of the traffic."""
_MIN_HALF_LIFE: Final = 1.0
_MAX_HALF_LIFE: Final = 8.0
"""Bounds of that time in seconds."""
_MIN_BACKOFF: Final = 0.1
"""Seconds without sends after a first failed connection."""
_MAX_BACKOFF: Final = 1.0
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
    stall_at_by_send : dict
        Instants at which sends in flight count as stalled, oldest first.
    consecutive_failures : int
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
    stall_at_by_send: dict[int, float] = field(default_factory=dict)
    consecutive_failures: int = 0
    blocked_until: float = 0
    cold_tokens: float = 1
    cold_updated: float = 0
    half_life: float = _MAX_HALF_LIFE
    suspicion: Suspicion = field(default_factory=Suspicion)
    _slowness: DecayingMean = field(
        default_factory=lambda: DecayingMean(_LATENCY_WEIGHT, rest=1),
    )
    _failure_share: DecayingMean = field(
        default_factory=lambda: DecayingMean(_FAILURE_WEIGHT, rest=0),
    )

    @property
    def in_flight(self) -> int:
        """Number of sends without an outcome."""
        return len(self.stall_at_by_send)

    def slowness(self, now: float) -> float:
        """Return the latency relative to that of the route's targets."""
        return self._slowness.at(now, self.half_life)

    def failure_rate(self, now: float) -> float:
        """Return the share of recent sends that failed."""
        return self._failure_share.at(now, self.half_life)

    def is_stalled(self, now: float) -> bool:
        """Whether the oldest send waits for longer than is usual."""
        oldest = next(iter(self.stall_at_by_send.values()), math.inf)
        return oldest <= now

    def is_blocked(self, now: float) -> bool:
        """Whether nothing may be sent, or only one trial that is under way."""
        if now < self.blocked_until:
            return True
        return self.consecutive_failures > 0 and self.in_flight > 0

    def set_request_interval(self, interval: float) -> None:
        """Take the mean time in seconds between requests for the service."""
        half_life = interval * _HALF_LIFE_REQUESTS
        self.half_life = min(max(half_life, _MIN_HALF_LIFE), _MAX_HALF_LIFE)

    def record_reply(self, ratio: float, now: float) -> None:
        """Take the latency of a reply, relative to the route's median."""
        sample = min(ratio, _MAX_RATIO)
        self._slowness.observe(sample, now, self.half_life)
        self.consecutive_failures = 0
        self._failure_share.observe(0, now, self.half_life)

    def record_rejection(self, now: float) -> None:
        """Take a reply that is a failure or says that nothing ran."""
        self.consecutive_failures = 0
        self._failure_share.observe(1, now, self.half_life)

    def record_no_reply(self, now: float) -> None:
        """Take a send that ended without a reply."""
        steps = min(self.consecutive_failures, _BACKOFF_STEPS)
        backoff = min(_MIN_BACKOFF * 2**steps, _MAX_BACKOFF)
        self.consecutive_failures += 1
        self.blocked_until = now + backoff
        self._failure_share.observe(1, now, self.half_life)
