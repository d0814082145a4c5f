"""Choice of a target for a shard."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.health import TargetHealth
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.suspicion import trial_probability

__all__ = ['Choice', 'choose_target', 'is_usable', 'spend_cold_token']

_REMOTE_PENALTY: Final = 0.4
"""Medians of latency that the own failure domain is preferred by; bytes
between failure domains are priced."""
_UNREACHABLE_DOMAIN_PENALTY: Final = 6.0
"""Medians of latency that a target is worse by while its failure domain cannot
be reached; more than a suspected target of the own one."""
_FAILURE_PENALTY: Final = 4.0
"""Medians of latency that a target is worse by when each send fails."""
_COLD_PENALTY: Final = 3.0
"""Medians of latency that a cold target is worse by."""
_STALLED_PENALTY: Final = 100.0
"""Puts targets that do not answer behind all others."""
_SUSPECTED_PENALTY: Final = 3.0
"""Medians of latency that a target is worse by while VMs of the failure
domain report it."""
_JITTER: Final = 0.2
"""Spread of scores, so that VMs do not choose alike."""
_COLD_SHARE: Final = 0.7
"""Part of a cold target's bound that is used; the rest covers requests that
arrive later than they were sent."""


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen target.

    Parameters
    ----------
    target : TargetRecord
        The target.
    is_stalled : bool
        Whether it does not answer at the moment.
    """

    target: TargetRecord
    is_stalled: bool


def is_usable(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> bool:
    """Return whether a target may be sent to at all."""
    if target.is_draining:
        return False
    if target.failure_domain in state.withdrawn_domains:
        return False
    health = state.health_of(target)
    if health.is_blocked(now):
        return False
    if now >= target.cold_until:
        return True
    return _refill_cold_tokens(state, target, health, now) >= 1


def choose_target(
    state: DispatchState,
    service: str,
    now: float,
    excluded: Collection[str] = (),
) -> Choice | None:
    """Return the target that is expected to answer first, if any.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher.
    service : str
        Service to choose a target of.
    now : float
        Monotonic instant.
    excluded : collection of str, optional
        Targets that are not asked again.
    """
    scored = [
        (_score(state, target, now), target.target_id, target)
        for target in state.registry.of_service(service)
        if target.target_id not in excluded and is_usable(state, target, now)
    ]
    if not scored:
        return None
    score, _, target = min(scored)
    return Choice(target, score >= _STALLED_PENALTY)


def spend_cold_token(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> None:
    """Count a send against the bound of a cold target."""
    if now < target.cold_until:
        state.health_of(target).cold_tokens -= 1


def _score(state: DispatchState, target: TargetRecord, now: float) -> float:
    health = state.health_of(target)
    load = 1 + health.in_flight / max(1, target.slots)
    score = health.slowness(now) * load
    score += _FAILURE_PENALTY * health.failure_rate(now)
    if target.failure_domain != state.own_domain:
        score += _REMOTE_PENALTY
        if state.reachability_of(target.failure_domain).is_unreachable(now):
            score += _UNREACHABLE_DOMAIN_PENALTY
    if now < target.cold_until:
        score += _COLD_PENALTY
    if health.suspicion.is_active(now) and not _is_trial_request(
        state, target, now
    ):
        score += _SUSPECTED_PENALTY
    if health.is_stalled(now):
        score += _STALLED_PENALTY
    return score + _JITTER * state.random.random()


def _is_trial_request(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> bool:
    interval = state.request_interval_of(target.service)
    share = trial_probability(interval, state.vms_in_domain)
    if state.random.random() >= share:
        return False
    # The trial is likely to need a hedge.
    return state.budget_of(target.service).can_spend(now, state.vm_count)


def _refill_cold_tokens(
    state: DispatchState,
    target: TargetRecord,
    health: TargetHealth,
    now: float,
) -> float:
    limits = state.limits.cold
    declared = state.spec_of(target.service).cold_rate
    bound = declared * limits.overshoot + limits.slack
    rate = bound * _COLD_SHARE / state.vm_count
    elapsed = max(0, now - health.cold_updated)
    health.cold_updated = now
    health.cold_tokens = min(1, health.cold_tokens + elapsed * rate)
    return health.cold_tokens
