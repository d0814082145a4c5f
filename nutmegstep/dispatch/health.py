"""Health of a target, estimated from the outcomes of ordinary requests."""

import math
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.dispatch.decaying_mean import DecayingMean
from nutmegstep.dispatch.suspicion import Suspicion
from nutmegstep.pace import Pace

__all__ = ['TargetHealth']

_LATENCY_WEIGHT: Final = 0.2
"""Weight of one latency in the mean."""
_MAX_RATIO: Final = 5.0
"""Upper bound of a latency sample, as a multiple of the route's median; a
single pause of the target must not outweigh many replies."""
_FAILURE_WEIGHT: Final = 0.4
"""Weight of one success or failure in the failure rate."""
_HALF_LIFE_REQUESTS: Final = 20.0
"""Half-life of the estimates, as a number of requests for the service. As they
return to their default values, a small share of the traffic tries a target
again that was avoided."""
_MIN_HALF_LIFE: Final = 1.0
"""Lower bound of the half-life in seconds."""
_MAX_HALF_LIFE: Final = 8.0
"""Upper bound of the half-life in seconds."""
_MIN_BACKOFF: Final = 0.1
"""Seconds for which a target is blocked after a first send without a reply."""
_MAX_BACKOFF: Final = 1.0
"""Longest time in seconds for which a target is blocked; each further send
without a reply doubles the time."""
_BACKOFF_STEPS: Final = 4
"""Maximum number of times that the blocked time is doubled."""


@dataclass(slots=True)
class TargetHealth:
    """Health of one incarnation of a target.

    Parameters
    ----------
    started_ms : int
        Start of the incarnation in Unix milliseconds.

    Attributes
    ----------
    stall_at_by_send : dict
        Monotonic times in seconds from which pending sends count as stalled,
        by send identifier, oldest send first.
    consecutive_failures : int
        Sends without a reply since the latest reply.
    blocked_until : float
        Monotonic time in seconds until which nothing is sent.
    cold_tokens : float
        Sends that the target may receive now while it is cold.
    cold_updated : float
        Monotonic time in seconds of the latest change of `cold_tokens`.
    cold_until : float
        Monotonic time in seconds at which the cold period ends for which
        `cold_tokens` are counted.
    half_life : float
        Time in seconds after which the estimates of latency and failures
        have returned halfway to their default values.
    suspicion : Suspicion
        Reports of the VMs of the failure domain about the target.
    pace : Pace
        Share of its load that the target gets after a return.
    """

    started_ms: int
    stall_at_by_send: dict[int, float] = field(default_factory=dict)
    consecutive_failures: int = 0
    blocked_until: float = 0
    cold_tokens: float = 0
    cold_updated: float = 0
    cold_until: float = 0
    half_life: float = _MAX_HALF_LIFE
    suspicion: Suspicion = field(default_factory=Suspicion)
    pace: Pace = field(default_factory=Pace)
    _slowness: DecayingMean = field(
        default_factory=lambda: DecayingMean(_LATENCY_WEIGHT, rest=1),
    )
    _failure_share: DecayingMean = field(
        default_factory=lambda: DecayingMean(_FAILURE_WEIGHT, rest=0),
    )

    @property
    def in_flight(self) -> int:
        """Number of pending sends."""
        return len(self.stall_at_by_send)

    def slowness(self, now: float) -> float:
        """Return the mean latency as a multiple of the route's median."""
        return self._slowness.at(now, self.half_life)

    def failure_rate(self, now: float) -> float:
        """Return the share of recent sends that failed, from 0 to 1."""
        return self._failure_share.at(now, self.half_life)

    def is_stalled(self, now: float) -> bool:
        """Return whether the oldest pending send has waited too long."""
        oldest = next(iter(self.stall_at_by_send.values()), math.inf)
        return oldest <= now

    def is_blocked(self, now: float) -> bool:
        """Return whether nothing may be sent to the target.

        After the blocked time, a target whose latest send brought no reply
        gets a single send, and is blocked until its outcome is known.
        """
        if now < self.blocked_until:
            return True
        return self.consecutive_failures > 0 and self.in_flight > 0

    def set_request_interval(self, interval: float) -> None:
        """Adapt the half-life to the mean time in seconds between requests."""
        half_life = interval * _HALF_LIFE_REQUESTS
        self.half_life = min(max(half_life, _MIN_HALF_LIFE), _MAX_HALF_LIFE)

    def record_reply(self, ratio: float, now: float) -> None:
        """Record a reply; `ratio` is its latency over the route's median."""
        sample = min(ratio, _MAX_RATIO)
        self._slowness.observe(sample, now, self.half_life)
        self.consecutive_failures = 0
        self._failure_share.observe(0, now, self.half_life)

    def settle(self, now: float) -> None:
        """Take what was observed at the pace of a return as the estimates."""
        self._slowness = DecayingMean(_LATENCY_WEIGHT, rest=1)
        self._slowness.restart(self.pace.slowness, now)
        self._failure_share = DecayingMean(_FAILURE_WEIGHT, rest=0)
        self.pace.end()

    def record_rejection(self, now: float) -> None:
        """Record a reply that is an error or states that nothing ran."""
        self.consecutive_failures = 0
        self._failure_share.observe(1, now, self.half_life)

    def record_no_reply(self, now: float) -> None:
        """Record a send without a reply and block the target for some time."""
        steps = min(self.consecutive_failures, _BACKOFF_STEPS)
        backoff = min(_MIN_BACKOFF * 2**steps, _MAX_BACKOFF)
        self.consecutive_failures += 1
        self.blocked_until = now + backoff
        self._failure_share.observe(1, now, self.half_life)
