"""Whether a failure domain can be reached, learnt from ordinary traffic.

A cut between failure domains hits all targets beyond it at once. Learning
each of them alone would cost a query for each target.
"""

from dataclasses import dataclass, field
from typing import Final

from nutmegstep.dispatch.decaying import DecayingMean

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

    _losses: DecayingMean = field(
        default_factory=lambda: DecayingMean(_LOSS_WEIGHT, rest=0),
    )

    def is_lost(self, now: float) -> bool:
        """Whether targets of other failure domains are preferred."""
        return self._losses.at(now, _HALF_LIFE) > _LOST_ABOVE

    def observe_loss(self, now: float) -> bool:
        """Take a send without a reply; return whether it shows a cut."""
        was_lost = self.is_lost(now)
        self._losses.observe(1, now, _HALF_LIFE)
        return self.is_lost(now) and not was_lost

    def observe_reply(self, now: float) -> None:
        """Take a reply, whatever it says."""
        self._losses.observe(0, now, _HALF_LIFE)
