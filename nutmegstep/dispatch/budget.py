"""Bound on repeats and hedges, shared by all VMs without messages."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

__all__ = ['BudgetLimits', 'RepeatBudget']

_USED_SHARE: Final = 0.9
"""Part of the allowed ratio and slack that is used; the rest covers requests
that are counted in another window than here."""
_CAPACITY_SHARE: Final = 0.75
"""Part of the slack that can be spent at once; the rest flows in over a
window. Requests bring tokens too, so a busy service hardly needs the flow."""


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """What all VMs together may send to a service beyond its requests.

    Parameters
    ----------
    ratio : float
        Extra sends per request.
    slack : float
        Extra sends per window in addition.
    window : datetime.timedelta
        Length of the sliding window.
    """

    ratio: float
    slack: float
    window: timedelta


class RepeatBudget:
    """Tokens for extra sends of this VM to one service.

    Part of the slack is the capacity and the rest flows in over a window, so
    the sum over any window stays below the slack. A process starts without
    tokens: the one it replaces may just have spent them.

    Parameters
    ----------
    limits : BudgetLimits
        Bound over all VMs.
    now : float
        Monotonic instant of the start.

    Attributes
    ----------
    limits : BudgetLimits
        Bound in force; a reload of the settings replaces it.
    """

    def __init__(self, limits: BudgetLimits, now: float) -> None:
        self.limits = limits
        self._tokens = float(0)
        self._updated = now

    def earn(self, now: float, vm_count: int) -> None:
        """Count a request for the service."""
        self._refill(now, vm_count)
        self._tokens += self.limits.ratio * _USED_SHARE
        self._cap(vm_count)

    def spend(self, now: float, vm_count: int, reserve: float = 0) -> bool:
        """Take a token for an extra send, or return False.

        Parameters
        ----------
        now : float
            Monotonic instant.
        vm_count : int
            Number of VMs that share the bound.
        reserve : float, optional
            Share of the capacity beyond one token that must remain for more
            urgent sends.
        """
        if not self.can_spend(now, vm_count, reserve):
            return False
        self._tokens -= 1
        return True

    def can_spend(self, now: float, vm_count: int, reserve: float = 0) -> bool:
        """Whether `spend` would return True."""
        self._refill(now, vm_count)
        kept = reserve * (self._capacity(vm_count) - 1)
        return self._tokens >= 1 + kept

    def _refill(self, now: float, vm_count: int) -> None:
        elapsed = max(0, now - self._updated)
        self._updated = now
        window = self.limits.window.total_seconds()
        flow = self._share(vm_count) * (1 - _CAPACITY_SHARE) / window
        self._tokens += elapsed * flow
        self._cap(vm_count)

    def _share(self, vm_count: int) -> float:
        return self.limits.slack * _USED_SHARE / vm_count

    def _capacity(self, vm_count: int) -> float:
        return max(1, self._share(vm_count) * _CAPACITY_SHARE)

    def _cap(self, vm_count: int) -> None:
        self._tokens = min(self._tokens, self._capacity(vm_count))
