"""Whether a failure domain can be reached, learnt from ordinary traffic.

A cut between failure domains hits all targets beyond it at once. Learning
each of them alone would cost a query for each target.
"""

from dataclasses import dataclass, field
from typing import Final

from nutmegstep.dispatch.decaying_mean import DecayingMean

__all__ = ['DomainReachability']

_NO_REPLY_WEIGHT: Final = 0.25
"""Weight of one send; three losses in a row without a reply count as a cut."""
_UNREACHABLE_SHARE: Final = 0.5
"""Share of lost sends above which a failure domain counts as out of reach; on
a bad day a sixth of its targets crash."""
_HALF_LIFE: Final = 2.0
"""Seconds after which a loss counts half, so that a domain that is reached
again is tried within about a second by ordinary traffic."""


@dataclass(slots=True)
class DomainReachability:
    """Share of the recent sends to a failure domain that brought no reply."""

    _no_reply_share: DecayingMean = field(
        default_factory=lambda: DecayingMean(_NO_REPLY_WEIGHT, rest=0),
    )

    def is_unreachable(self, now: float) -> bool:
        """Whether targets of other failure domains are preferred."""
        return self._no_reply_share.at(now, _HALF_LIFE) > _UNREACHABLE_SHARE

    def record_no_reply(self, now: float) -> bool:
        """Take a send without a reply; return whether it shows a cut."""
        was_unreachable = self.is_unreachable(now)
        self._no_reply_share.observe(1, now, _HALF_LIFE)
        return self.is_unreachable(now) and not was_unreachable

    def record_reply(self, now: float) -> None:
        """Take a reply, whatever it says."""
        self._no_reply_share.observe(0, now, _HALF_LIFE)
