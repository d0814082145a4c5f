"""Limits that targets state in their replies.

A target under load states how many requests per second it accepts from all VMs
together, in each reply for as long as the limit holds.
"""

import math
from dataclasses import dataclass
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import Decision

__all__ = ['RequestLimits']

_LOGGED_CHANGE: Final = 0.2
"""Smallest relative change of a limit that is logged again."""


@dataclass(slots=True)
class _LimitedTarget:
    """Limit of one incarnation of a target.

    Parameters
    ----------
    started_ms : int
        Start of the incarnation in Unix milliseconds.
    stated_at : float
        Monotonic time in seconds at which this VM first learned of a limit.
    per_second : float
        Limit of the latest reply.
    logged_per_second : float or None
        Limit in the latest log line; None before the first one.
    sends : int
        Requests that this VM has sent since it learned of the limit.
    """

    started_ms: int
    stated_at: float
    per_second: float
    logged_per_second: float | None = None
    sends: int = 0


class RequestLimits:
    """Limits of the targets that have stated one."""

    def __init__(self) -> None:
        self._limited_by_id: dict[str, _LimitedTarget] = {}

    def record_reply(
        self,
        target: TargetRecord,
        per_second: float | None,
        now: float,
    ) -> list[Decision]:
        """Record what a reply of a target states.

        Parameters
        ----------
        target : TargetRecord
            The target.
        per_second : float or None
            Requests per second that the target accepts from all VMs; None
            ends its limit.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of Decision
            Decisions to be logged if the limit begins, changes or ends.
        """
        limited = self._find(target)
        if per_second is None:
            return self._end(target, limited, now)
        if limited is None:
            limited = _LimitedTarget(target.started_ms, now, per_second)
            self._limited_by_id[target.target_id] = limited
        limited.per_second = per_second
        logged = limited.logged_per_second
        if logged is not None and math.isclose(
            per_second, logged, rel_tol=_LOGGED_CHANGE
        ):
            return []
        limited.logged_per_second = per_second
        inputs = {'target': target.target_id, 'per_second': per_second}
        return [Decision('request_limit_stated', '', inputs)]

    def record_send(self, target: TargetRecord) -> None:
        """Count a request that is sent to a target."""
        limited = self._find(target)
        if limited is not None:
            limited.sends += 1

    def _find(self, target: TargetRecord) -> _LimitedTarget | None:
        limited = self._limited_by_id.get(target.target_id)
        if limited is None or limited.started_ms != target.started_ms:
            return None
        return limited

    def _end(
        self,
        target: TargetRecord,
        limited: _LimitedTarget | None,
        now: float,
    ) -> list[Decision]:
        if limited is None:
            return []
        self._limited_by_id.pop(target.target_id)
        inputs = {
            'target': target.target_id,
            'per_second': limited.per_second,
            'after_ms': round((now - limited.stated_at) * 1000),
            'sends': limited.sends,
        }
        return [Decision('request_limit_ended', '', inputs)]
