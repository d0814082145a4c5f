"""Log of decisions, bounded in lines per second."""

import logging
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.dispatch.effects import Decision

__all__ = ['DecisionLog']

_LOG: Final = logging.getLogger('nutmegstep.decisions')
_LINES_PER_SECOND: Final = 60.0
"""Rate at which lines are written when many decisions are made."""
_BURST: Final = 240.0
"""Lines that are written at once; several seconds of a busy VM."""
_URGENT: Final = frozenset(
    (
        'configuration_in_force',
        'domains_withdrawn',
        'refused',
        'vms_counted',
    ),
)


class DecisionLog:
    """Writes decisions; counts those that it leaves out.

    Parameters
    ----------
    clock : Clock
        Paces the lines.

    Attributes
    ----------
    omitted : int
        Decisions without a line since the start.
    """

    def __init__(self, clock: Clock) -> None:
        self.omitted = 0
        self._clock = clock
        self._tokens = _BURST
        self._updated = clock.monotonic()
        self._reported = 0

    def write(self, decision: Decision) -> None:
        """Write a line if the rate allows it.

        Refusals and changes of belief may use the last tenth of the burst
        that frequent decisions leave.
        """
        self._refill()
        floor = 1 if decision.name in _URGENT else _BURST / 10
        if self._tokens < floor:
            self.omitted += 1
            return
        self._tokens -= 1
        fields = dict(decision.inputs)
        if decision.caller_id:
            fields['request_id'] = decision.caller_id
        if self.omitted != self._reported:
            fields['omitted_before'] = self.omitted - self._reported
            self._reported = self.omitted
        _LOG.info(decision.name, extra=fields)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        earned = (now - self._updated) * _LINES_PER_SECOND
        self._updated = now
        self._tokens = min(_BURST, self._tokens + earned)
