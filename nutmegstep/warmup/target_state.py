"""What a VM knows about the warmth of one target."""

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

_OUTCOME_WINDOW: Final = 8
_OUTCOME_MASK: Final = (1 << _OUTCOME_WINDOW) - 1
_BAD_THRESHOLD: Final = 5
_SPIKE_FACTOR: Final = 4
# Step of the running median, as a share of its value.
_MEDIAN_STEP: Final = 0.05
# A median of a few answers of a warming target is too high or too low.
_MIN_MEDIAN_SAMPLES: Final = 32


# A VM without a promise depends on a report of the VM that warms the target
# up. When that one has seen nothing, no report comes, and the target would be
# lost to this VM for good; after this time it tries with one request.
_MIN_SUSPENSION_SECONDS: Final = 10
_SPARE_STEPS: Final = 2

# Late reports about earlier processes of a target must not make it warm.
_MAX_PAST_BOOT_IDS: Final = 4


@dataclass(slots=True)
class TargetWarmupState:
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
        """Shift in an outcome; return whether too many were bad."""
        self.recent_outcomes = (self.recent_outcomes << 1 | bad) & _OUTCOME_MASK
        return self.recent_outcomes.bit_count() >= _BAD_THRESHOLD

    def suspend(self, now: float) -> None:
        """Take the target as cold for a while; nothing restarted."""
        boot_id = self.warm_boot_id
        mark_cold(self)
        self.suspended_boot_id = boot_id
        self.retry_at = now + self.suspend_seconds

    def resume_if_due(self, now: float) -> None:
        """Use the target again when nobody has confirmed it in time.

        The next request goes alone and shows the boot identifier.
        """
        boot_id = self.suspended_boot_id or self.unconfirmed_boot_id
        if now >= self.retry_at and boot_id:
            mark_warm(self)
            self.needs_probe = True

    def record_latency(self, seconds: float) -> bool:
        """Return whether a latency is far above the running median."""
        self.answer_count += 1
        if not self.median:
            self.median = seconds
        bad = seconds > self.median * _SPIKE_FACTOR
        step = self.median * _MEDIAN_STEP
        self.median += step if seconds > self.median else -step
        return bad and self.answer_count > _MIN_MEDIAN_SAMPLES


def record_restart(state: TargetWarmupState, boot_id: str) -> None:
    if state.boot_id:
        past = (*state.past_boot_ids, state.boot_id)
        state.past_boot_ids = past[-_MAX_PAST_BOOT_IDS:]
    state.boot_id = boot_id
    mark_cold(state)
    state.median = 0
    state.answer_count = 0


def suspension_seconds(target: Target) -> float:
    """Return the seconds after which another VM has warmed a target up."""
    doublings = math.ceil(math.log2(target.slots / target.cold_slots))
    ramp = target.ramp_step.total_seconds() * (doublings + _SPARE_STEPS)
    return max(_MIN_SUSPENSION_SECONDS, ramp)


def mark_warm(state: TargetWarmupState) -> None:
    state.warm_boot_id = state.boot_id
    state.unconfirmed_boot_id = ''
    state.suspended_boot_id = ''
    state.retry_at = math.inf
    state.recent_outcomes = 0


def mark_cold(state: TargetWarmupState) -> None:
    state.warm_boot_id = ''
    state.unconfirmed_boot_id = ''
    state.suspended_boot_id = ''
    state.retry_at = math.inf
    state.recent_outcomes = 0
    state.ramp_limit = 0
