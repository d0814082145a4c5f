"""Arithmetic of the limit of an account over all VMs.

The limit is cut into slices, each with an owner that hands out tokens. In any
window, the tokens that are used were minted in it, or stored at its beginning, or
handed out before it and not yet expired. The tolerance of the operators' bound pays
for the last two beyond the burst.
"""

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from nutmegstep.accounts.core import ClientAccount

__all__ = ['SLICES', 'AccountBound', 'LimitTolerance']

SLICES: Final = 3
"""Slices of each limit. The loss of an owner takes a third away, until another VM
has taken over."""
_MAX_LIFETIME_SECONDS: Final = 1.0
_USED_TOLERANCE: Final = 0.9
"""Share of the tolerance that is used. The rest is for VMs that count each other at
different moments."""
_LIFETIME_SHARE: Final = 0.6
"""Share of the used tolerance that pays for tokens that are handed out. The rest
is stored in addition to the burst, which helps accounts that send seldom."""
_MIN_LIFETIME_SHARE: Final = 0.2
"""The same as a share of burst and tolerance, where there is little tolerance."""


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """Tolerance of the bound on the requests of an account.

    In each window at most (rate x window + burst) x (1 + overshoot) + slack
    requests of an account may run.

    Parameters
    ----------
    window : datetime.timedelta
        Length of the window.
    overshoot : float
        Share of the limit that may run in addition.
    slack : float
        Requests that may run in addition.
    """

    window: timedelta = timedelta(seconds=5)
    overshoot: float = 0.1
    slack: float = 20


@dataclass(frozen=True, slots=True)
class AccountBound:
    """How the limit of an account is kept.

    Parameters
    ----------
    account : ClientAccount
        Account with a limit.
    tolerance : LimitTolerance
        Tolerance of its bound.
    """

    account: ClientAccount
    tolerance: LimitTolerance

    @property
    def most(self) -> float:
        """Most requests that may run in a window."""
        tolerance = self.tolerance
        limit = self._limit * (1 + tolerance.overshoot)
        return limit + tolerance.slack

    @property
    def lifetime(self) -> float:
        """Time in seconds for which a token may be used after it was asked for."""
        spent = max(
            self._tolerated * _LIFETIME_SHARE,
            self._stored * _MIN_LIFETIME_SHARE,
        )
        return min(_MAX_LIFETIME_SECONDS, spent / self.account.rate)

    @property
    def slice_rate(self) -> float:
        """Tokens per second of one slice."""
        return self.account.rate / SLICES

    @property
    def slice_depth(self) -> float:
        """Most tokens that one slice stores."""
        return (self._stored - self.lifetime * self.account.rate) / SLICES

    @property
    def _limit(self) -> float:
        window = self.tolerance.window.total_seconds()
        return self.account.rate * window + self.account.burst

    @property
    def _tolerated(self) -> float:
        return (self.most - self._limit) * _USED_TOLERANCE

    @property
    def _stored(self) -> float:
        """Tokens that may be stored or handed out at the beginning of a window."""
        return self.account.burst + self._tolerated
