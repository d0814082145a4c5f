"""Token budget of repeats and hedges.

A repeat is a retry at another target after a failure; a hedge is a second send
while the first target has not answered. The operators bound their sum over all
VMs; each VM takes an equal share of the bound, without exchanging messages.
"""

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

__all__ = ['BudgetLimits', 'RepeatBudget', 'token_savers']

_USED_SHARE: Final = 0.9
"""Part of the allowed ratio and slack that is used. The rest allows for
requests near the edge of a window, which another counter may assign to a
different window."""
_CAPACITY_SHARE: Final = 0.75
"""Part of the slack that can be spent at once; tokens for the rest are added at
a constant rate over each window. That rate matters little for a service with
many requests, since each request adds tokens too."""


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Bound on the extra sends of all VMs to one service.

    Parameters
    ----------
    ratio : float
        Extra sends per request.
    slack : float
        Extra sends per window that are allowed in addition.
    window : datetime.timedelta
        Length of the sliding window.
    """

    ratio: float
    slack: float
    window: timedelta


def token_savers(limits: BudgetLimits, bound_share: float) -> int:
    """Return how many VMs may save a token for the same service.

    Parameters
    ----------
    limits : BudgetLimits
        Bound over all VMs.
    bound_share : float
        Share of the bound that these VMs have together.
    """
    return int(limits.slack * _USED_SHARE * _CAPACITY_SHARE * bound_share)


class RepeatBudget:
    """Token bucket for the extra sends of this VM to one service.

    One part of this VM's share of the slack is the capacity of the bucket, and
    the other part is added at a constant rate over a window; each request adds
    tokens as well. No more than a full bucket and the tokens added can be spent
    in a window, so that the share of ratio and slack is not exceeded. The
    bucket of a new process is empty: the process that it replaces may have
    spent the tokens of the current window.

    Parameters
    ----------
    limits : BudgetLimits
        Bound over all VMs.
    now : float
        Monotonic time of the start in seconds; tokens are added from then on.

    Attributes
    ----------
    limits : BudgetLimits
        Bound in force; replaced when the settings are reloaded.
    may_save_token : bool
        Whether one token may be saved although the share of this VM is
        smaller. In a large fleet a bound does not suffice for one token of
        each VM, so only some of them may; see `token_savers`.
    """

    def __init__(self, limits: BudgetLimits, now: float) -> None:
        self.limits = limits
        self.may_save_token = True
        self._tokens = float(0)
        self._updated = now

    def earn(self, now: float, vm_count: float) -> None:
        """Add the tokens that a request for the service brings.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        vm_count : float
            Number of equal shares of the bound, of which this VM has one.
        """
        self._refill(now, vm_count)
        self._tokens += self.limits.ratio * _USED_SHARE
        self._cap(vm_count)

    def spend(self, now: float, vm_count: float, reserve: float = 0) -> bool:
        """Take a token for an extra send; return whether there was one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        vm_count : float
            Number of equal shares of the bound, of which this VM has one.
        reserve : float, optional
            Tokens that must remain for more urgent sends, as a share of the
            capacity minus one. A VM of a large fleet, with a capacity of one
            token, thus reserves nothing and can still hedge.
        """
        if not self.can_spend(now, vm_count, reserve):
            return False
        self._tokens -= 1
        return True

    def can_spend(
        self, now: float, vm_count: float, reserve: float = 0
    ) -> bool:
        """Return whether `spend` with the same arguments would succeed."""
        self._refill(now, vm_count)
        kept = reserve * (self._capacity(vm_count) - 1)
        return self._tokens >= 1 + kept

    def charge(self, now: float, vm_count: float) -> None:
        """Take a token for an extra send that was made without asking.

        The balance may become negative.
        """
        self._refill(now, vm_count)
        self._tokens -= 1

    def _refill(self, now: float, vm_count: float) -> None:
        elapsed = max(0, now - self._updated)
        self._updated = now
        window = self.limits.window.total_seconds()
        rate = self._share(vm_count) * (1 - _CAPACITY_SHARE) / window
        self._tokens += elapsed * rate
        self._cap(vm_count)

    def _share(self, vm_count: float) -> float:
        share = self.limits.slack * _USED_SHARE / vm_count
        if self.may_save_token:
            return max(share, 1 / _CAPACITY_SHARE)
        return share

    def _capacity(self, vm_count: float) -> float:
        return self._share(vm_count) * _CAPACITY_SHARE

    def _cap(self, vm_count: float) -> None:
        self._tokens = min(self._tokens, self._capacity(vm_count))
