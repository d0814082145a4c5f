"""Decides whether a target is warm and how much a cold one may receive."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.model import Target
from nutmegstep.warmup.warmth import (
    TargetWarmth,
    hold_of,
    make_warm,
    restart,
    set_cold,
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
    state_by_target: dict[str, TargetWarmth] = field(default_factory=dict)

    def is_warm(self, target: str) -> bool:
        """Return whether a target is known as warm; unknown is cold."""
        known = self.state_by_target.get(target)
        return known is not None and bool(known.warm_boot_id)

    def is_warm_or_leased(self, target: str, now: float) -> bool:
        """Return whether a target is warm or a promise for it is in force."""
        known = self.state_by_target.get(target)
        if known is not None:
            if known.retry_at <= now:
                known.reconsider(now)
            if known.warm_boot_id:
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
        known = self.state_by_target.get(target.name)
        if known is not None and known.warm_boot_id:
            # A restart without an open connection shows only in an answer.
            return not (known.unseen and in_flight)
        if self.lease_expiry_by_target.get(target.name, 0) <= now:
            return False
        allowed = known.allowed if known else 0
        return in_flight < max(allowed, target.cold_slots)

    def set_leases(
        self, lease_expiry_by_target: Mapping[str, float], now: float
    ) -> None:
        """Take over the promises in force.

        The ramp of a target whose promise lapsed starts again: another VM may
        have sent to it meanwhile.
        """
        for name, known in self.state_by_target.items():
            held = self.lease_expiry_by_target.get(name, 0) > now
            if not held or lease_expiry_by_target.get(name, 0) <= now:
                known.allowed = 0
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
        known = self._of(target)
        if boot_id in known.past_boot_ids:
            return
        early = now - known.lost_at < EARLY_REPORT_SECONDS
        if early and known.boot_id in {'', boot_id}:
            return
        if known.boot_id != boot_id:
            restart(known, boot_id)
        make_warm(known)

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
        known = self._of(target)
        known.lost_at = now
        boot_id = known.warm_boot_id or known.unconfirmed_boot_id
        set_cold(known)
        known.unconfirmed_boot_id = boot_id
        known.retry_at = now + retry_after
        # A report may make it warm while this VM has no connection.
        known.unseen = True

    def record_disconnect(self, target: str) -> None:
        """Record that this VM closed its last connection to a target.

        The next request goes alone, because a restart is not seen until an
        answer shows the boot identifier.
        """
        self._of(target).unseen = True

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
        known = self._of(target)
        known.unseen = False
        if not known.unconfirmed_boot_id or sent < known.lost_at:
            return False
        if known.unconfirmed_boot_id != boot_id:
            return False
        make_warm(known)
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
        known = self._of(target.name)
        if known.boot_id != boot_id:
            restart(known, boot_id)
        if known.warm_boot_id:
            if known.note(bad=known.jumped(seconds)):
                known.hold = hold_of(target)
                known.suspend(now)
            return False
        return self._ramped(known, target, now)

    def record_shed(self, target: str, boot_id: str, now: float) -> None:
        """Count a request that a target refused to execute."""
        known = self._of(target)
        if boot_id and known.boot_id != boot_id:
            restart(known, boot_id)
        if known.note(bad=True) and known.warm_boot_id:
            known.suspend(now)
        # A shed during the ramp shows that the step was too large.
        known.allowed //= 2

    def keep_only(self, targets: Iterable[str]) -> None:
        """Forget targets that left the configuration."""
        kept = self.state_by_target.keys() & targets
        self.state_by_target = {
            name: self.state_by_target[name] for name in sorted(kept)
        }

    def _of(self, target: str) -> TargetWarmth:
        known = self.state_by_target.get(target)
        if known is None:
            known = TargetWarmth()
            self.state_by_target[target] = known
        return known

    def _ramped(
        self,
        known: TargetWarmth,
        target: Target,
        now: float,
    ) -> bool:
        if self.lease_expiry_by_target.get(target.name, 0) <= now:
            return False
        step = target.ramp_step.total_seconds()
        if not known.allowed:
            known.allowed = target.cold_slots
            known.next_step = now + step
        if now < known.next_step:
            return False
        if known.allowed >= target.slots:
            make_warm(known)
            return True
        known.allowed = min(target.slots, known.allowed * 2)
        known.next_step = now + step
        return False
