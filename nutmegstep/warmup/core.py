"""Decides whether a target is warm and how much a cold one may receive."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.model import Target
from nutmegstep.warmup.target_state import (
    TargetWarmupState,
    mark_cold,
    mark_warm,
    record_restart,
    suspension_seconds,
)

__all__ = ['COLD_REQUEST_SECONDS', 'EARLY_REPORT_SECONDS', 'Warmup']

# A VM that gave a promise waits this much longer than the promise before it
# grants the target again; no request to a cold target may outlast that.
COLD_REQUEST_SECONDS: Final = 2

# Two heartbeats. A report that arrives earlier after the loss of all
# connections may have been sent before the restart that closed them.
EARLY_REPORT_SECONDS: Final = 1


@dataclass(slots=True)
class Warmup:
    """What this VM knows about warm and cold targets.

    Parameters
    ----------
    lease_expiry_by_target : Mapping
        Until when this VM may send to each cold target.

    Examples
    --------
    >>> target = Target('a', '::1', 1, 'domain-1', 4, 1, 80)
    >>> warmup = Warmup()
    >>> warmup.may_send(target, 0, now=0)
    False
    >>> warmup.record_warm_report('a', 'boot-1', now=0)
    >>> warmup.may_send(target, 3, now=0)
    True
    >>> warmup.mark_unconfirmed('a', now=1)
    >>> warmup.may_send(target, 3, now=1)
    False
    """

    lease_expiry_by_target: Mapping[str, float] = field(default_factory=dict)
    state_by_target: dict[str, TargetWarmupState] = field(default_factory=dict)

    def is_warm(self, target: str) -> bool:
        """Return whether a target is reported as warm; unknown is cold."""
        state = self.state_by_target.get(target)
        return state is not None and bool(state.warm_boot_id)

    def is_warm_or_leased(self, target: str, now: float) -> bool:
        """Return whether a target is warm or a promise for it is in force."""
        state = self.state_by_target.get(target)
        if state is not None:
            if state.retry_at <= now:
                state.resume_if_due(now)
            if state.warm_boot_id:
                return True
        return self.lease_expiry_by_target.get(target, 0) > now

    def may_send(self, target: Target, in_flight: int, now: float) -> bool:
        """Return whether a request may be sent in this step.

        Parameters
        ----------
        target : Target
            The target.
        in_flight : int
            Requests of this VM to the target without an outcome.
        now : float
            Monotonic instant of the send in seconds.
        """
        state = self.state_by_target.get(target.name)
        if state is not None and state.warm_boot_id:
            # A restart without an open connection shows only in an answer.
            return not (state.needs_probe and in_flight)
        if self.lease_expiry_by_target.get(target.name, 0) <= now:
            return False
        allowed = state.ramp_limit if state else 0
        return in_flight < max(allowed, target.cold_slots)

    def set_leases(
        self, lease_expiry_by_target: Mapping[str, float], now: float
    ) -> None:
        """Take over the promises in force.

        The ramp of a target whose promise lapsed starts again: another VM may
        have sent to it meanwhile.
        """
        for name, state in self.state_by_target.items():
            held = self.lease_expiry_by_target.get(name, 0) > now
            if not held or lease_expiry_by_target.get(name, 0) <= now:
                state.ramp_limit = 0
        self.lease_expiry_by_target = lease_expiry_by_target

    def record_warm_report(self, target: str, boot_id: str, now: float) -> None:
        """Record that a target is warm, unless the report may be too old.

        Parameters
        ----------
        target : str
            Name of the target.
        boot_id : str
            Boot identifier of the process that is warm.
        now : float
            Monotonic instant at which the report arrived, in seconds.
        """
        state = self._state_of(target)
        if boot_id in state.past_boot_ids:
            return
        early = now - state.connections_lost_at < EARLY_REPORT_SECONDS
        if early and state.boot_id in {'', boot_id}:
            return
        if state.boot_id != boot_id:
            record_restart(state, boot_id)
        mark_warm(state)

    def mark_unconfirmed(
        self,
        target: str,
        now: float,
        retry_after: float = math.inf,
    ) -> None:
        """Take the warmth of a target as unconfirmed.

        Notes
        -----
        A restart closes all connections. Until the boot identifier is
        confirmed the target is used like a cold one. After `retry_after`
        seconds one request asks for it: when only this VM lost its
        connections, no other VM has a reason to report.
        """
        state = self._state_of(target)
        state.connections_lost_at = now
        boot_id = state.warm_boot_id or state.unconfirmed_boot_id
        mark_cold(state)
        state.unconfirmed_boot_id = boot_id
        state.retry_at = now + retry_after
        # A report may make it warm while this VM has no connection.
        state.needs_probe = True

    def record_disconnect(self, target: str) -> None:
        """Record that this VM closed its last connection to a target.

        The next request goes alone, because a restart is not seen until an
        answer shows the boot identifier.
        """
        self._state_of(target).needs_probe = True

    def confirm_boot_id(self, target: str, boot_id: str, sent: float) -> bool:
        """Compare an answer with the boot identifier before the loss.

        Parameters
        ----------
        target : str
            Name of the target.
        boot_id : str
            Boot identifier in the answer.
        sent : float
            Monotonic instant of the request. One that was sent before the
            loss may have been answered before the restart.

        Returns
        -------
        bool
            Whether the target is warm again and must be reported.
        """
        state = self._state_of(target)
        state.needs_probe = False
        if not state.unconfirmed_boot_id or sent < state.connections_lost_at:
            return False
        if state.unconfirmed_boot_id != boot_id:
            return False
        mark_warm(state)
        return True

    def record_answer(
        self,
        target: Target,
        boot_id: str,
        seconds: float,
        now: float,
    ) -> bool:
        """Count an answer.

        Returns
        -------
        bool
            Whether the target has just become warm and must be reported.
        """
        state = self._state_of(target.name)
        if state.boot_id != boot_id:
            record_restart(state, boot_id)
        if state.warm_boot_id:
            if state.record_outcome(bad=state.record_latency(seconds)):
                state.suspend_seconds = suspension_seconds(target)
                state.suspend(now)
            return False
        return self._advance_ramp(state, target, now)

    def record_shed(self, target: str, boot_id: str, now: float) -> None:
        """Count a request that a target refused to execute."""
        state = self._state_of(target)
        if boot_id and state.boot_id != boot_id:
            record_restart(state, boot_id)
        if state.record_outcome(bad=True) and state.warm_boot_id:
            state.suspend(now)
        # A shed during the ramp shows that the step was too large.
        state.ramp_limit //= 2

    def keep_only(self, targets: Iterable[str]) -> None:
        """Forget targets that left the configuration."""
        kept = self.state_by_target.keys() & targets
        self.state_by_target = {
            name: self.state_by_target[name] for name in sorted(kept)
        }

    def _state_of(self, target: str) -> TargetWarmupState:
        state = self.state_by_target.get(target)
        if state is None:
            state = TargetWarmupState()
            self.state_by_target[target] = state
        return state

    def _advance_ramp(
        self,
        state: TargetWarmupState,
        target: Target,
        now: float,
    ) -> bool:
        if self.lease_expiry_by_target.get(target.name, 0) <= now:
            return False
        step = target.ramp_step.total_seconds()
        if not state.ramp_limit:
            state.ramp_limit = target.cold_slots
            state.next_step_at = now + step
        if now < state.next_step_at:
            return False
        if state.ramp_limit >= target.slots:
            mark_warm(state)
            return True
        state.ramp_limit = min(target.slots, state.ramp_limit * 2)
        state.next_step_at = now + step
        return False
