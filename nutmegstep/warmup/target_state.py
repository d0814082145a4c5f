"""Warm-up state of one target as a VM knows it."""

import math
from dataclasses import dataclass
from typing import Final

from nutmegstep.model import Target

__all__ = [
    'TargetWarmupState',
    'mark_cold',
    'mark_warm',
    'record_restart',
    'suspension_seconds',
]

# A warm target is suspended when 5 of its last 8 outcomes were bad; an outcome
# is bad when the target refused the request or the latency was above 4 times
# the running median.
_OUTCOME_WINDOW: Final = 8
_OUTCOME_MASK: Final = (1 << _OUTCOME_WINDOW) - 1
_BAD_THRESHOLD: Final = 5
_SPIKE_FACTOR: Final = 4
# Each latency moves the running median up or down by this share of its value.
_MEDIAN_STEP: Final = 0.05
# While a target warms up, a median of a few answers is too high or too low to
# compare with.
_MIN_MEDIAN_SAMPLES: Final = 32


# A VM without the lease depends on the report of the VM that warms the target
# up. If the other VMs still find the target warm, no report is sent, and this
# VM would never use the target again. It therefore probes the target with one
# request when the suspension ends.
_MIN_SUSPENSION_SECONDS: Final = 10
_SPARE_STEPS: Final = 2

# Boot identifiers that are kept to reject late reports about earlier runs.
_MAX_PAST_BOOT_IDS: Final = 4


@dataclass(slots=True)
class TargetWarmupState:
    """Warm-up state of one target; changed in place.

    Parameters
    ----------
    warm_boot_id : str
        Boot identifier under which the target is warm, empty when cold.
    past_boot_ids : tuple of str
        Boot identifiers of earlier runs, the newest last.
    boot_id : str
        Last known boot identifier.
    recent_outcomes : int
        Bit mask of the last outcomes; a set bit is a bad one.
    median : float
        Running median of the latency in seconds.
    answer_count : int
        Number of answers in the median.
    ramp_limit : int
        Requests in flight that the ramp permits; 0 before it starts.
    next_step_at : float
        Monotonic time in seconds from which an answer may raise the limit.
    unconfirmed_boot_id : str
        Boot identifier under which the target was warm before all connections
        were lost.
    connections_lost_at : float
        Monotonic time in seconds at which all connections were last lost.
    needs_probe : bool
        Whether the next request must be the only one in flight, because the
        target may have restarted without this VM noticing.
    suspended_boot_id : str
        Boot identifier under which the target was warm before its
        suspension.
    retry_at : float
        Monotonic time in seconds at which the target is probed although no
        other VM has reported it as warm.
    suspend_seconds : float
        Length of the next suspension in seconds.
    """

    warm_boot_id: str = ''
    past_boot_ids: tuple[str, ...] = ()
    boot_id: str = ''
    recent_outcomes: int = 0
    median: float = 0
    answer_count: int = 0
    ramp_limit: int = 0
    next_step_at: float = 0
    unconfirmed_boot_id: str = ''
    connections_lost_at: float = -math.inf
    needs_probe: bool = False
    suspended_boot_id: str = ''
    retry_at: float = math.inf
    suspend_seconds: float = _MIN_SUSPENSION_SECONDS

    def record_outcome(self, *, bad: bool) -> bool:
        """Record an outcome; return whether too many recent ones were bad."""
        self.recent_outcomes = (self.recent_outcomes << 1 | bad) & _OUTCOME_MASK
        return self.recent_outcomes.bit_count() >= _BAD_THRESHOLD

    def suspend(self, now: float) -> None:
        """Treat a target that did not restart as cold for a limited time."""
        boot_id = self.warm_boot_id
        mark_cold(self)
        self.suspended_boot_id = boot_id
        self.retry_at = now + self.suspend_seconds

    def resume_if_due(self, now: float) -> None:
        """Mark the target as warm again if its retry time has come.

        The next request is sent alone and shows the boot identifier.
        """
        boot_id = self.suspended_boot_id or self.unconfirmed_boot_id
        if now >= self.retry_at and boot_id:
            mark_warm(self)
            self.needs_probe = True

    def record_latency(self, seconds: float) -> bool:
        """Add a latency to the running median; return whether it is a spike."""
        self.answer_count += 1
        if not self.median:
            self.median = seconds
        bad = seconds > self.median * _SPIKE_FACTOR
        step = self.median * _MEDIAN_STEP
        self.median += step if seconds > self.median else -step
        return bad and self.answer_count > _MIN_MEDIAN_SAMPLES


def record_restart(state: TargetWarmupState, boot_id: str) -> None:
    """Start with a cold state for a new boot identifier."""
    if state.boot_id:
        past = (*state.past_boot_ids, state.boot_id)
        state.past_boot_ids = past[-_MAX_PAST_BOOT_IDS:]
    state.boot_id = boot_id
    mark_cold(state)
    state.median = 0
    state.answer_count = 0


def suspension_seconds(target: Target) -> float:
    """Return the length of a suspension of a target in seconds.

    Within this time another VM can complete the ramp of the target, with two
    steps to spare.
    """
    doublings = math.ceil(math.log2(target.slots / target.cold_slots))
    ramp = target.ramp_step.total_seconds() * (doublings + _SPARE_STEPS)
    return max(_MIN_SUSPENSION_SECONDS, ramp)


def mark_warm(state: TargetWarmupState) -> None:
    """Mark a target as warm under its last known boot identifier."""
    state.warm_boot_id = state.boot_id
    state.unconfirmed_boot_id = ''
    state.suspended_boot_id = ''
    state.retry_at = math.inf
    state.recent_outcomes = 0


def mark_cold(state: TargetWarmupState) -> None:
    """Mark a target as cold, with no retry time; its ramp starts again."""
    state.warm_boot_id = ''
    state.unconfirmed_boot_id = ''
    state.suspended_boot_id = ''
    state.retry_at = math.inf
    state.recent_outcomes = 0
    state.ramp_limit = 0
