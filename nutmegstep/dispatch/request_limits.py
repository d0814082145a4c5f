"""Limits and pauses that targets state in their replies.

A target under load states how many requests per second it accepts from all VMs
together, in each reply for as long as the limit holds. Each VM takes an equal
share of the limit, without exchanging messages. A target that turns a request
away may state for how long it wants none from this VM.
"""

import math
from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import Decision

__all__ = ['RequestLimits']

_USED_SHARE: Final = 0.9
"""Part of a limit that is used. The rest allows for VMs that have just joined
and are not counted yet."""
_TRIAL_RATE: Final = 0.25
"""Requests per second that all VMs together may send however small the limit
is. Only a reply shows that it has ended."""
_BURST_SECONDS: Final = 1.0
"""Time for which all VMs together may save their requests under a limit."""
_BURST_REQUESTS: Final = 2.5
"""Requests that all VMs together may save beyond that. This and the saved time
are half of what the operators tolerate above a limit within 4 s."""
_MAX_PAUSE_SECONDS: Final = 300.0
"""Longest pause of a target; no reply takes it out of use for good."""
_PAUSE_SPREAD: Final = 0.1
"""Share of a pause by which VMs use a target again at different moments."""
_LOGGED_CHANGE: Final = 0.2
"""Smallest relative change of a limit that is logged again."""
_FORGET_SECONDS: Final = 60.0
"""Time since its latest reply after which the limit of a target is forgotten
that is no longer announced. An announcement can lapse in an outage of the store
and return within seconds."""


@dataclass(slots=True)
class _LimitedTarget:
    """Limit of one incarnation of a target.

    Parameters
    ----------
    started_ms : int
        Start of the incarnation in Unix milliseconds.
    stated_at : float
        Monotonic time in seconds at which this VM first learned of a limit.
    tokens : float
        Requests that this VM may send now.
    per_second : float
        Limit of the latest reply, for all VMs together.
    replied_at : float
        Monotonic time in seconds of the latest reply.
    updated : float
        Monotonic time in seconds of the latest change of `tokens`.
    logged_per_second : float or None
        Limit in the latest log line; None before the first one.
    sends : int
        Requests that this VM has sent since it learned of the limit.
    """

    started_ms: int
    stated_at: float
    tokens: float
    per_second: float = 0
    replied_at: float = 0
    updated: float = 0
    logged_per_second: float | None = None
    sends: int = 0

    def rate(self, divisor: float) -> float:
        """Return the requests per second that this VM may send."""
        return max(self.per_second * _USED_SHARE, _TRIAL_RATE) / divisor

    def refill(self, now: float, divisor: float) -> None:
        """Add the tokens since the latest call.

        The share of a VM of a large fleet is less than one token. If each VM
        saved a whole one, all of them together could exceed the limit at once.
        Such a VM keeps fractions only: a token that is not used at once is
        lost, and a quiet time adds no more than the share.
        """
        elapsed = now - self.updated
        if elapsed <= 0:
            return
        self.updated = now
        share = self.per_second * _BURST_SECONDS + _BURST_REQUESTS
        capacity = share / divisor
        kept = self.tokens if capacity >= 1 else math.modf(self.tokens)[0]
        added = min(elapsed * self.rate(divisor), capacity)
        self.tokens = min(kept + added, max(1, capacity))


@dataclass(frozen=True, slots=True)
class _Pause:
    """Time for which one incarnation of a target wants no request of this VM.

    Parameters
    ----------
    started_ms : int
        Start of the incarnation in Unix milliseconds.
    ends_at : float
        Monotonic time in seconds at which it ends.
    """

    started_ms: int
    ends_at: float


class RequestLimits:
    """Limits and pauses of the targets that have stated one.

    They outlast the announcement of a target, which may lapse and return while
    the target runs.

    Parameters
    ----------
    phase_of : Callable
        Returns a number above 0, at most 1, that spreads the VMs evenly. Takes
        the identifier of a target.
    divisor : Callable
        Returns the number of equal shares of a limit, of which this VM has one.
    """

    def __init__(
        self,
        phase_of: Callable[[str], float],
        divisor: Callable[[], float],
    ) -> None:
        self._phase_of = phase_of
        self._divisor = divisor
        self._limited_by_id: dict[str, _LimitedTarget] = {}
        self._pause_by_id: dict[str, _Pause] = {}

    def may_send(self, target: TargetRecord, now: float) -> bool:
        """Return whether this VM may send a request to a target now."""
        if self._paused_seconds(target, now):
            return False
        limited = self._find(target)
        if limited is None:
            return True
        limited.refill(now, self._divisor())
        return limited.tokens >= 1

    def seconds_until_allowed(self, target: TargetRecord, now: float) -> float:
        """Return the time in seconds until `may_send` can become true."""
        paused = self._paused_seconds(target, now)
        limited = self._find(target)
        if limited is None:
            return paused
        divisor = self._divisor()
        limited.refill(now, divisor)
        missing = max(0, 1 - limited.tokens)
        return max(paused, missing / limited.rate(divisor))

    def record_send(self, target: TargetRecord) -> None:
        """Take the token of a request that is sent to a target."""
        limited = self._find(target)
        if limited is not None:
            limited.sends += 1
            limited.tokens = max(0, limited.tokens - 1)

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
            phase = self._phase_of(target.target_id)
            limited = _LimitedTarget(target.started_ms, now, phase, updated=now)
            self._limited_by_id[target.target_id] = limited
        limited.per_second = per_second
        limited.replied_at = now
        logged = limited.logged_per_second
        if logged is not None and math.isclose(
            per_second, logged, rel_tol=_LOGGED_CHANGE
        ):
            return []
        limited.logged_per_second = per_second
        inputs = {'target': target.target_id, 'per_second': per_second}
        return [Decision('request_limit_stated', '', inputs)]

    def record_pause(
        self, target: TargetRecord, seconds: float, now: float
    ) -> Decision:
        """Send nothing to a target for the time that it has asked for."""
        bounded = min(seconds, _MAX_PAUSE_SECONDS)
        phase = self._phase_of(target.target_id)
        ends_at = now + bounded * (1 + _PAUSE_SPREAD * phase)
        known = self._pause_by_id.get(target.target_id)
        if known is not None and known.started_ms == target.started_ms:
            ends_at = max(ends_at, known.ends_at)
        self._pause_by_id[target.target_id] = _Pause(target.started_ms, ends_at)
        inputs = {
            'target': target.target_id,
            'stated_s': seconds,
            'seconds': round(ends_at - now, 3),
        }
        return Decision('target_paused', '', inputs)

    def forget_departed(self, announced: Container[str], now: float) -> None:
        """Forget targets that are not announced and have not replied lately."""
        self._limited_by_id = {
            target_id: limited
            for target_id, limited in self._limited_by_id.items()
            if target_id in announced
            or now < limited.replied_at + _FORGET_SECONDS
        }
        self._pause_by_id = {
            target_id: pause
            for target_id, pause in self._pause_by_id.items()
            if now < pause.ends_at
        }

    def _paused_seconds(self, target: TargetRecord, now: float) -> float:
        pause = self._pause_by_id.get(target.target_id)
        if pause is None or pause.started_ms != target.started_ms:
            return 0
        return max(0, pause.ends_at - now)

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
