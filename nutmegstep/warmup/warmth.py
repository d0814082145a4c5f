"""What a VM knows about the warmth of one target."""

import math
from dataclasses import dataclass
from typing import Final

from nutmegstep.model import Target

__all__ = [
    'TargetWarmth',
    'hold_of',
    'make_warm',
    'restart',
    'set_cold',
]

_RECENT_ANSWERS: Final = 8
_RECENT_MASK: Final = (1 << _RECENT_ANSWERS) - 1
_BAD_OF_RECENT: Final = 5
_JUMP_FACTOR: Final = 4
# Step of the running median, as a share of its value.
_MEDIAN_STEP: Final = 0.05
# A median of a few answers of a warming target is too high or too low.
_MEDIAN_ANSWERS: Final = 32


# A VM without a promise depends on a report of the VM that warms the target
# up. When that one has seen nothing, no report comes, and the target would be
# lost to this VM for good; after this time it tries with one request.
_HOLD_SECONDS: Final = 10
_SPARE_STEPS: Final = 2

# Late reports about earlier processes of a target must not make it warm.
_KEPT_BOOT_IDS: Final = 4


@dataclass(slots=True)
class TargetWarmth:
    warm_boot_id: str = ''
    past_boot_ids: tuple[str, ...] = ()
    boot_id: str = ''
    recent: int = 0
    median: float = 0
    answers: int = 0
    allowed: int = 0
    next_step: float = 0
    unconfirmed_boot_id: str = ''
    lost_at: float = -math.inf
    unseen: bool = False
    suspended_boot_id: str = ''
    retry_at: float = math.inf
    hold: float = _HOLD_SECONDS

    def note(self, *, bad: bool) -> bool:
        """Shift in an outcome; return whether too many were bad."""
        self.recent = (self.recent << 1 | bad) & _RECENT_MASK
        return self.recent.bit_count() >= _BAD_OF_RECENT

    def suspend(self, now: float) -> None:
        """Take the target as cold for a while; nothing restarted."""
        boot_id = self.warm_boot_id
        set_cold(self)
        self.suspended_boot_id = boot_id
        self.retry_at = now + self.hold

    def reconsider(self, now: float) -> None:
        """Use the target again when nobody has confirmed it in time.

        The next request goes alone and shows the boot identifier.
        """
        boot_id = self.suspended_boot_id or self.unconfirmed_boot_id
        if now >= self.retry_at and boot_id:
            make_warm(self)
            self.unseen = True

    def jumped(self, seconds: float) -> bool:
        """Return whether a latency is far above the running median."""
        self.answers += 1
        if not self.median:
            self.median = seconds
        bad = seconds > self.median * _JUMP_FACTOR
        step = self.median * _MEDIAN_STEP
        self.median += step if seconds > self.median else -step
        return bad and self.answers > _MEDIAN_ANSWERS


def restart(known: TargetWarmth, boot_id: str) -> None:
    if known.boot_id:
        past = (*known.past_boot_ids, known.boot_id)
        known.past_boot_ids = past[-_KEPT_BOOT_IDS:]
    known.boot_id = boot_id
    set_cold(known)
    known.median = 0
    known.answers = 0


def hold_of(target: Target) -> float:
    """Return the seconds after which another VM has warmed a target up."""
    doublings = math.ceil(math.log2(target.slots / target.cold_slots))
    ramp = target.ramp_step.total_seconds() * (doublings + _SPARE_STEPS)
    return max(_HOLD_SECONDS, ramp)


def make_warm(known: TargetWarmth) -> None:
    known.warm_boot_id = known.boot_id
    known.unconfirmed_boot_id = ''
    known.suspended_boot_id = ''
    known.retry_at = math.inf
    known.recent = 0


def set_cold(known: TargetWarmth) -> None:
    known.warm_boot_id = ''
    known.unconfirmed_boot_id = ''
    known.suspended_boot_id = ''
    known.retry_at = math.inf
    known.recent = 0
    known.allowed = 0
