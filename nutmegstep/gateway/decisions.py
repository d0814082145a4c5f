"""Log of decisions, bounded in lines per second."""

import logging
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.dispatch.effects import Decision

__all__ = ['DecisionLog']

_LOG: Final = logging.getLogger('nutmegstep.decisions')
_MAX_LINES_PER_SECOND: Final = 60.0
"""Rate at which lines are written when many decisions are made."""
_BURST_LINES: Final = 240.0
"""Lines that are written at once; several seconds of a busy VM."""
_PRIORITY_DECISIONS: Final = frozenset(
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
        self._tokens = _BURST_LINES
        self._refilled_at = clock.monotonic()
        self._omitted_reported = 0

    def write(self, decision: Decision) -> None:
        """Write a line if the rate allows it.

        Refusals and changes of belief may use the last tenth of the burst
        that frequent decisions leave.
        """
        self._refill()
        required = (
            1 if decision.name in _PRIORITY_DECISIONS else _BURST_LINES / 10
        )
        if self._tokens < required:
            self.omitted += 1
            return
        self._tokens -= 1
        fields = dict(decision.inputs)
        if decision.attempt_id:
            fields['request_id'] = decision.attempt_id
        if self.omitted != self._omitted_reported:
            fields['omitted_before'] = self.omitted - self._omitted_reported
            self._omitted_reported = self.omitted
        _LOG.info(decision.name, extra=fields)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * _MAX_LINES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(_BURST_LINES, self._tokens + refill)
