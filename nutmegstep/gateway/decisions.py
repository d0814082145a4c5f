"""Rate-limited log of the dispatcher's decisions."""

import logging
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.dispatch.effects import Decision

__all__ = ['DecisionLog']

_LOG: Final = logging.getLogger('nutmegstep.decisions')
_MAX_LINES_PER_SECOND: Final = 60.0
"""Sustained rate of log lines."""
_BURST_LINES: Final = 240.0
"""Log lines that may be written at once; several seconds of a busy VM."""
_PRIORITY_DECISIONS: Final = frozenset(
    (
        'configuration_in_force',
        'content_refused',
        'domains_withdrawn',
        'links_suspected',
        'loss_evaluated',
        'refused',
        'request_limit_ended',
        'request_limit_stated',
        'stop_scheduled',
        'store_restored',
        'target_leaving',
        'target_paused',
        'rollout_decided',
        'rollout_held',
        'rollout_phase',
        'rollout_removed',
        'rollout_stored',
        'targets_lost',
        'targets_regained',
        'vms_counted',
    ),
)
"""Rare decisions, which may use the part of the burst that frequent decisions
have to leave."""


class DecisionLog:
    """Token bucket in front of the log; counts the decisions it omits.

    Parameters
    ----------
    clock : Clock
        Monotonic clock that refills the token bucket.

    Attributes
    ----------
    omitted : int
        Number of decisions without a log line since the start.
    """

    def __init__(self, clock: Clock) -> None:
        self.omitted = 0
        self._clock = clock
        self._tokens = _BURST_LINES
        self._refilled_at = clock.monotonic()
        self._omitted_reported = 0

    def write(self, decision: Decision) -> None:
        """Write a log line if the rate allows it.

        The last tenth of the burst is reserved for refusals, changes of the
        configuration in force, withdrawals of failure domains, limits of
        targets, roll-outs, changes of the number of VMs, restorations of the store, and
        loss and return of the links to the targets.
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
