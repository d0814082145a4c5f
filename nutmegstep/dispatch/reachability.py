"""Whether a failure domain can be reached, learnt from ordinary traffic.

A cut between failure domains hits all targets beyond it at once. Learning
each of them alone would cost a query for each target.
"""

import math
from dataclasses import dataclass
from typing import Final

__all__ = ['DomainReachability']

_LOSS_WEIGHT: Final = 0.25
"""Weight of one send; three losses in a row without a reply count as a cut."""
_LOST_ABOVE: Final = 0.5
"""Share of lost sends above which a failure domain counts as out of reach; on
a bad day a sixth of its targets crash."""
_HALF_LIFE: Final = 2.0
"""Seconds after which a loss counts half, so that a domain that is reached
again is tried within about a second by ordinary traffic."""


@dataclass(slots=True)
class DomainReachability:
    """Share of the recent sends to a failure domain that brought no reply."""

    _losses: float = 0
    _updated: float = 0

    def is_lost(self, now: float) -> bool:
        """Whether targets of other failure domains are preferred."""
        return self._share(now) > _LOST_ABOVE

    def observe_loss(self, now: float) -> bool:
        """Take a send without a reply; return whether it shows a cut."""
        was_lost = self.is_lost(now)
        self._observe(1, now)
        return self.is_lost(now) and not was_lost

    def observe_reply(self, now: float) -> None:
        """Take a reply, whatever it says."""
        self._observe(0, now)

    def _observe(self, lost: int, now: float) -> None:
        share = self._share(now)
        self._losses = share + _LOSS_WEIGHT * (lost - share)
        self._updated = now

    def _share(self, now: float) -> float:
        return self._losses * math.exp2((self._updated - now) / _HALF_LIFE)
