"""Decides which targets are warm and how many requests a cold one gets."""

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

COLD_REQUEST_SECONDS: Final = 2
"""Longest time-out of a request to a cold target.

A VM grants a target to another VM only this long after the previous grant has
ended. A longer request could still run when the other VM starts to send.
"""

EARLY_REPORT_SECONDS: Final = 1
"""Time after the loss of all connections in which warm reports are ignored.

Heartbeats carry the reports every 0.5 s; one that arrives within two heartbeats
may have been sent before the restart that closed the connections.
"""


@dataclass(slots=True)
class Warmup:
    """Warm-up state of all targets as this VM knows it.

    Parameters
    ----------
    lease_expiry_by_target : Mapping
        Monotonic time in seconds at which each lease of this VM for a cold
        target expires.
    state_by_target : dict
        State by target name, for the targets that this VM has used or has
        reports about.

    Notes
    -----
    A target is identified by its name, and each run of its process by a boot
    identifier that its answers carry. Another boot identifier shows that the
    target has restarted and is cold. The VM with the lease sends up to
    `Target.cold_slots` requests at a time and doubles the limit after each
    `Target.ramp_step` in which it gets answers. Once the limit is
    `Target.slots`, the target is warm and the VM reports it to the others.

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
        """Return whether a target is warm; an unknown target is not."""
        state = self.state_by_target.get(target)
        return state is not None and bool(state.warm_boot_id)

    def is_warm_or_leased(self, target: str, now: float) -> bool:
        """Return whether a target is warm or this VM holds its lease.

        A target whose suspension has ended becomes warm again here.
        """
        state = self.state_by_target.get(target)
        if state is not None:
            if state.retry_at <= now:
                state.resume_if_due(now)
            if state.warm_boot_id:
                return True
        return self.lease_expiry_by_target.get(target, 0) > now

    def may_send(self, target: Target, in_flight: int, now: float) -> bool:
        """Return whether another request may be sent to a target now.

        Parameters
        ----------
        target : Target
            The target.
        in_flight : int
            Number of requests of this VM to the target without an outcome.
        now : float
            Monotonic time in seconds.
        """
        state = self.state_by_target.get(target.name)
        if state is not None and state.warm_boot_id:
            # A single request probes whether the target has restarted.
            return not (state.needs_probe and in_flight)
        if self.lease_expiry_by_target.get(target.name, 0) <= now:
            return False
        allowed = state.ramp_limit if state else 0
        return in_flight < max(allowed, target.cold_slots)

    def set_leases(
        self, lease_expiry_by_target: Mapping[str, float], now: float
    ) -> None:
        """Replace the leases of this VM.

        The ramp of a target whose lease has expired starts again, because
        another VM may have sent to the target since.

        Parameters
        ----------
        lease_expiry_by_target : Mapping
            Monotonic time in seconds at which each lease expires.
        now : float
            Monotonic time in seconds.
        """
        for name, state in self.state_by_target.items():
            held = self.lease_expiry_by_target.get(name, 0) > now
            if not held or lease_expiry_by_target.get(name, 0) <= now:
                state.ramp_limit = 0
        self.lease_expiry_by_target = lease_expiry_by_target

    def record_warm_report(self, target: str, boot_id: str, now: float) -> None:
        """Record the report of another VM that a target is warm.

        The report is ignored when it is about an earlier run of the target,
        or when it may have been sent before the target restarted.

        Parameters
        ----------
        target : str
            Name of the target.
        boot_id : str
            Boot identifier of the warm process.
        now : float
            Monotonic time in seconds at which the report arrived.
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
        """Mark a target as possibly restarted: all its connections were lost.

        Parameters
        ----------
        target : str
            Name of the target.
        now : float
            Monotonic time in seconds.
        retry_after : float
            Seconds after which a single request probes the target.

        Notes
        -----
        A restart closes all connections. The target is used like a cold one
        until an answer confirms its boot identifier or another VM reports it
        as warm. If only this VM lost its connections, no other VM has a
        reason to report; the probe then gets the boot identifier.
        """
        state = self._state_of(target)
        state.connections_lost_at = now
        boot_id = state.warm_boot_id or state.unconfirmed_boot_id
        mark_cold(state)
        state.unconfirmed_boot_id = boot_id
        state.retry_at = now + retry_after
        # A report may mark the target as warm while this VM has no connection
        # that would show another restart.
        state.needs_probe = True

    def record_disconnect(self, target: str) -> None:
        """Record that this VM closed its last connection to a target.

        The next request is sent alone as a probe: without a connection, a
        restart is not noticed until an answer shows the boot identifier.
        """
        self._state_of(target).needs_probe = True

    def confirm_boot_id(self, target: str, boot_id: str, sent: float) -> bool:
        """Compare the boot identifier of an answer with the unconfirmed one.

        Parameters
        ----------
        target : str
            Name of the target.
        boot_id : str
            Boot identifier in the answer.
        sent : float
            Monotonic time in seconds at which the request was sent. A request
            that was sent before the connections were lost confirms nothing,
            as it may have been answered before a restart.

        Returns
        -------
        bool
            Whether the target is now confirmed as warm, so that it must be
            reported to the other VMs.
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
        """Record an answer of a target.

        For a warm target the latency is compared with the running median, and
        too many slow answers suspend the target. For a cold target that is
        leased, the answer may advance the ramp.

        Parameters
        ----------
        target : Target
            The target.
        boot_id : str
            Boot identifier in the answer.
        seconds : float
            Latency of the request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the target has just become warm, so that it must be
            reported to the other VMs.
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

    def record_shed(self, target: Target, boot_id: str, now: float) -> None:
        """Record that a target refused a request because of overload.

        Parameters
        ----------
        target : Target
            The target.
        boot_id : str
            Boot identifier in the refusal, empty when it has none.
        now : float
            Monotonic time in seconds.
        """
        state = self._state_of(target.name)
        if boot_id and state.boot_id != boot_id:
            record_restart(state, boot_id)
        if state.record_outcome(bad=True) and state.warm_boot_id:
            state.suspend_seconds = suspension_seconds(target)
            state.suspend(now)
        # During the ramp a refusal shows that the limit was raised too far.
        state.ramp_limit //= 2

    def keep_only(self, targets: Iterable[str]) -> None:
        """Remove the state of targets that left the configuration."""
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
        """Raise the ramp limit when its time has come; return if now warm."""
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
