"""Reachability of a failure domain, estimated from the outcomes of sends.

A network partition between failure domains makes all targets behind it
unreachable at once. If reachability were estimated for each target alone, a
request would have to fail at each of them.
"""

from dataclasses import dataclass, field
from typing import Final

from nutmegstep.dispatch.decaying_mean import DecayingMean

__all__ = ['DomainReachability']

_NO_REPLY_WEIGHT: Final = 0.25
"""Weight of one send; after three sends in a row without a reply, a failure
domain counts as unreachable."""
_UNREACHABLE_SHARE: Final = 0.5
"""Share of sends without a reply above which a failure domain counts as
unreachable. Crashes of single targets must stay below it; as many as a sixth of
the targets of a failure domain may have crashed."""
_HALF_LIFE: Final = 2.0
"""Time in seconds after which a send without a reply counts half. It lets
ordinary requests try an unreachable failure domain again within about one
second."""


@dataclass(slots=True)
class DomainReachability:
    """Estimates whether a failure domain is reachable from this VM."""

    _no_reply_share: DecayingMean = field(
        default_factory=lambda: DecayingMean(_NO_REPLY_WEIGHT, rest=0),
    )

    def is_unreachable(self, now: float) -> bool:
        """Return whether the failure domain counts as unreachable."""
        return self._no_reply_share.at(now, _HALF_LIFE) > _UNREACHABLE_SHARE

    def record_no_reply(self, now: float) -> bool:
        """Record a send without a reply.

        Returns
        -------
        bool
            Whether the failure domain has just become unreachable.
        """
        was_unreachable = self.is_unreachable(now)
        self._no_reply_share.observe(1, now, _HALF_LIFE)
        return self.is_unreachable(now) and not was_unreachable

    def record_reply(self, now: float) -> None:
        """Record a reply of any status."""
        self._no_reply_share.observe(0, now, _HALF_LIFE)
