"""Roll-outs as one VM knows them, and which versions a send may go to."""

from collections.abc import Callable, Iterable
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.rollout_record import Rollout
from nutmegstep.rollouts import ExposureLimits, Outcome, Phase, RolloutOrder

__all__ = ['Rollouts']

_CREDIT_SHARE: Final = 0.6
"""Share of the exposure that the trial uses. The rest is for the time between
the move and its end if the version turns bad."""
_SLACK_SHARE: Final = 0.5
"""Share of the slack that the trial uses."""
_COLD_TRIAL_SHARE: Final = 0.4
"""Share of the time ordered after which cold targets are tried too."""
_RAMP_SHARE: Final = 0.3
"""Share of the first sends that go to the new version during the ramp."""

_KEEP_SECONDS: Final = 10.0
"""Time for which the running version of a service stays known while no target of it
is announced. Targets of a service that crash together are back before."""

_Targets = tuple[TargetRecord, ...]


class Rollouts:
    """Orders that are known, and the running version of each service.

    Without limits there are no roll-outs, and every version may be used.

    Parameters
    ----------
    random : Callable
        Returns a number from 0 to 1.

    Attributes
    ----------
    limits : ExposureLimits or None
        Bound on the requests to a bad version.
    by_service : dict
        Roll-outs by service.
    is_listed : bool
        Whether the orders have been read.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self.limits: ExposureLimits | None = None
        self.by_service: dict[str, Rollout] = {}
        self.is_listed = False
        self._epoch: int | None = None
        self._random = random
        self._running_by_service: dict[str, tuple[_Targets, str]] = {}
        self._usual_by_service: dict[str, tuple[_Targets, _Targets]] = {}
        self._missing_since_by_service: dict[str, float] = {}

    @property
    def epoch(self) -> int:
        """Number of this process in its reports."""
        if self._epoch is None:
            self._epoch = int(self._random() * 2**31)
        return self._epoch

    def put(self, order: RolloutOrder, now: float, divisor: float) -> bool:
        """Add or update an order; return whether it is a new one.

        Parameters
        ----------
        order : RolloutOrder
            The order.
        now : float
            Monotonic time in seconds.
        divisor : float
            Number of equal shares of a bound over all VMs.
        """
        known = self.by_service.get(order.service)
        is_new = known is None or known.order.version != order.version
        if known is None or is_new:
            slack = self.limits.slack if self.limits else 0
            credit = slack * _SLACK_SHARE / divisor
            known = Rollout(order, now, credit)
            self.by_service[order.service] = known
        known.order = order
        if order.outcome is Outcome.COMPLETED:
            self.finish(known, Phase.COMPLETED, now)
        if order.outcome is Outcome.REVERTED:
            self.finish(known, Phase.REVERTED, now)
        return is_new

    def finish(self, rollout: Rollout, phase: Phase, now: float) -> bool:
        """Put a final phase in force; return whether it was not yet."""
        if rollout.phase is phase:
            return False
        rollout.phase = phase
        rollout.phase_at = now
        service = rollout.order.service
        if phase is Phase.COMPLETED:
            self._running_by_service[service] = ((), rollout.order.version)
        return True

    def forget(self, service: str) -> None:
        """Remove an order that the operators have deleted."""
        self.by_service.pop(service, None)

    def is_open(
        self, target: TargetRecord, targets: _Targets, now: float
    ) -> bool:
        """Return whether sends of any kind may go to the version of a target.

        Parameters
        ----------
        target : TargetRecord
            The target.
        targets : tuple of TargetRecord
            All targets of its service.
        now : float
            Monotonic time in seconds.
        """
        if self.limits is None:
            return True
        rollout = self.by_service.get(target.service)
        if rollout is None:
            return target.version == self.running_version(targets, now)
        if not rollout.old_version:
            rollout.old_version = self._old_version(rollout.order, targets, now)
        if rollout.phase_in_force(now) in {Phase.MOVED, Phase.COMPLETED}:
            # Old targets do for a service whose new ones have all gone.
            return rollout.is_new(target) or not any(
                rollout.is_new(one) and not one.is_draining for one in targets
            )
        return target.version == rollout.old_version

    def candidate_groups(
        self, service: str, targets: _Targets, is_first: bool, now: float
    ) -> tuple[_Targets, ...]:
        """Return the targets that a send may go to, in groups.

        A later group is for sends for which an earlier one has no usable target.

        Parameters
        ----------
        service : str
            Service that is sent to.
        targets : tuple of TargetRecord
            Its targets.
        is_first : bool
            False for repeats and hedges.
        now : float
            Monotonic time in seconds.
        """
        if self.limits is None:
            return (targets,)
        rollout = self.by_service.get(service)
        if rollout is None:
            return (self._usual_targets(service, targets, now),)
        usual = tuple(one for one in targets if self.is_open(one, targets, now))
        if not is_first:
            return (usual,)
        tried = self._tried_targets(rollout, targets, now)
        return (tried, usual) if tried else (usual,)

    def record_send(self, target: TargetRecord, is_first: bool) -> None:
        """Count a send for the credit of the trial."""
        if self.limits is None:
            return
        rollout = self.by_service.get(target.service)
        if rollout is None or rollout.phase is not Phase.TRIAL:
            return
        if is_first:
            # Sends beyond the first of a request are no part of the bound's
            # base, as they need not reach the service.
            rollout.credit += self.limits.share * _CREDIT_SHARE
        if rollout.is_new(target):
            rollout.credit -= 1

    def running_version(self, targets: _Targets, now: float) -> str:
        """Return the version of a service without an order.

        It is the one that ran before others were announced, also for some time
        in which all its targets are gone. Without a known one it is that of the
        target that started first.
        """
        if not targets:
            return ''
        service = targets[0].service
        known_targets, known = self._running_by_service.get(service, ((), ''))
        if known_targets is targets:
            return known
        versions = [one.version for one in targets]
        if known and known not in versions:
            since = self._missing_since_by_service.setdefault(service, now)
            if now < since + _KEEP_SECONDS:
                return known
        if known not in versions:
            known = min(targets, key=_usual_first(versions)).version
        self._missing_since_by_service.pop(service, None)
        self._running_by_service[service] = (targets, known)
        return known

    def _usual_targets(
        self, service: str, targets: _Targets, now: float
    ) -> _Targets:
        known = self._usual_by_service.get(service)
        if known is not None and known[0] is targets:
            return known[1]
        running = self.running_version(targets, now)
        usual = tuple(one for one in targets if one.version == running)
        if usual:
            # Without one, the running version may change although they do not.
            self._usual_by_service[service] = (targets, usual)
        return usual

    def _old_version(
        self, order: RolloutOrder, targets: _Targets, now: float
    ) -> str:
        """Return the version to which the order is an alternative.

        It is the one that ran before, also if its targets have crashed. A VM that
        starts when only the version of the order is announced takes that one, unless
        the order was taken back.
        """
        _, known = self._running_by_service.get(order.service, ((), ''))
        if known:
            return known
        others = tuple(one for one in targets if one.version != order.version)
        if others:
            return self.running_version(others, now)
        return '' if order.outcome is Outcome.REVERTED else order.version

    def _tried_targets(
        self, rollout: Rollout, targets: Iterable[TargetRecord], now: float
    ) -> _Targets:
        phase = rollout.phase_in_force(now)
        if phase is Phase.RAMP and self._random() < _RAMP_SHARE:
            return tuple(filter(rollout.is_new, targets))
        if phase is not Phase.TRIAL or rollout.credit < 1:
            return ()
        warm_only = (
            now < rollout.ordered_at + rollout.order.seconds * _COLD_TRIAL_SHARE
        )
        return tuple(
            one
            for one in targets
            if rollout.is_new(one) and not (warm_only and now < one.cold_until)
        )


def _usual_first(
    versions: list[str],
) -> Callable[[TargetRecord], tuple[int, int, str]]:
    return lambda one: (
        one.started_ms,
        -versions.count(one.version),
        one.version,
    )
