"""Selects the target of a service that a request is sent to.

Each usable target has a score, and the lowest score wins. The score is the
expected latency of the target as a multiple of the route's median latency, plus
penalties in the same unit: with a penalty of 3, a target is as undesirable as
one that takes three medians longer.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.health import TargetHealth
from nutmegstep.dispatch.pacing import has_warm_peer, is_paced
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.suspicion import trial_probability

__all__ = [
    'Choice',
    'choose_target',
    'is_usable',
    'seconds_until_usable',
    'spend_cold_token',
]

_REMOTE_PENALTY: Final = 0.4
"""Penalty of targets in other failure domains; traffic between failure domains
costs money."""
_UNREACHABLE_DOMAIN_PENALTY: Final = 6.0
"""Penalty while a target's failure domain is unreachable; larger than that of a
suspected target in the failure domain of this VM."""
_FAILURE_PENALTY: Final = 4.0
"""Penalty of a target at which every send fails, scaled by its failure rate."""
_COLD_PENALTY: Final = 3.0
"""Penalty of a cold target, one that started recently, and of one that is held
back after a return."""
_STALLED_PENALTY: Final = 100.0
"""Penalty of a stalled target; so much larger than the others that such a
target is chosen only when no other one is usable."""
_SUSPECTED_PENALTY: Final = 3.0
"""Penalty of a target that the VMs of this failure domain have reported as too
slow."""
_JITTER: Final = 0.2
"""Upper bound of the random term that is added to each score; keeps VMs with
the same information from all choosing the same target."""
_COLD_SHARE: Final = 0.7
"""Part of a cold target's allowed rate that is used. The rest allows for
delays: requests that were sent within the rate can reach the target closer
together."""


@dataclass(frozen=True, slots=True)
class Choice:
    """Selected target.

    Parameters
    ----------
    target : TargetRecord
        The target.
    is_stalled : bool
        Whether its oldest pending send has waited too long. If so, all other
        targets that could be chosen are stalled too.
    """

    target: TargetRecord
    is_stalled: bool


def is_usable(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> bool:
    """Return whether a request may be sent to a target.

    None is usable until the store has been read after a pause. Targets that
    drain, that belong to a withdrawn failure domain, that are
    blocked after failures, or that are cold or state a limit and have no token
    left are not usable.
    """
    return _accepts(state, target, now) and _has_open_version(
        state, target, now
    )


def seconds_until_usable(
    state: DispatchState,
    service: str,
    now: float,
) -> float:
    """Return the time until a target accepts another request of this VM.

    Returns
    -------
    float
        Time in seconds; infinite if not only the limits of the targets keep
        them from being used.
    """
    waits = (
        state.request_limits.seconds_until_allowed(target, now)
        for target in state.registry.of_service(service)
        if _has_open_version(state, target, now)
        and _is_available(state, target, now)
    )
    return min(waits, default=math.inf)


def choose_target(
    state: DispatchState,
    service: str,
    now: float,
    excluded: Collection[str] = (),
) -> Choice | None:
    """Return the usable target with the lowest score, or None.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher.
    service : str
        Service whose targets are considered.
    now : float
        Monotonic time in seconds.
    excluded : collection of str, optional
        Identifiers of targets to leave out.
    """
    groups = state.rollouts.candidate_groups(
        service, state.registry.of_service(service), not excluded, now
    )
    for targets in groups:
        usable = [
            target
            for target in targets
            if target.target_id not in excluded and _accepts(state, target, now)
        ]
        if usable:
            return _choose_best(state, usable, now)
    return None


def _choose_best(
    state: DispatchState, usable: list[TargetRecord], now: float
) -> Choice:
    has_warm = has_warm_peer(state, usable, now)
    score, _, target = min(
        (_score(state, target, has_warm, now), target.target_id, target)
        for target in usable
    )
    return Choice(target, score >= _STALLED_PENALTY)


def spend_cold_token(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> None:
    """Take the token of a send if the target is cold."""
    if now < target.cold_until:
        state.health_of(target).cold_tokens -= 1


def _has_open_version(
    state: DispatchState, target: TargetRecord, now: float
) -> bool:
    if state.rollouts.limits is None:
        return True
    targets = state.registry.of_service(target.service)
    return state.rollouts.is_open(target, targets, now)


def _accepts(state: DispatchState, target: TargetRecord, now: float) -> bool:
    return _is_available(state, target, now) and state.request_limits.may_send(
        target, now
    )


def _is_available(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> bool:
    if target.is_draining or now < state.refresh_until:
        return False
    if target.failure_domain in state.withdrawn_domains:
        return False
    health = state.health_of(target)
    if health.is_blocked(now):
        return False
    if now >= target.cold_until:
        return True
    return _refill_cold_tokens(state, target, health, now) >= 1


def _score(
    state: DispatchState, target: TargetRecord, has_warm: bool, now: float
) -> float:
    health = state.health_of(target)
    load = 1 + health.in_flight / max(1, target.slots)
    if has_warm and is_paced(health, now):
        # What was known before the return is void.
        score = health.pace.slowness * load
    else:
        score = health.slowness(now) * load
        score += _FAILURE_PENALTY * health.failure_rate(now)
    if target.failure_domain != state.own_domain:
        score += _REMOTE_PENALTY
        if state.reachability_of(target.failure_domain).is_unreachable(now):
            score += _UNREACHABLE_DOMAIN_PENALTY
    if _is_held_back(state, target, has_warm, now):
        score += _COLD_PENALTY
    if health.suspicion.is_active(now) and not _is_trial_request(
        state, target, now
    ):
        score += _SUSPECTED_PENALTY
    if health.is_stalled(now):
        score += _STALLED_PENALTY
    return score + _JITTER * state.random.random()


def _is_held_back(
    state: DispatchState, target: TargetRecord, has_warm: bool, now: float
) -> bool:
    if not state.limits.paces_returns:
        return now < target.cold_until
    health = state.health_of(target)
    if not (has_warm and is_paced(health, now)):
        return False
    if now < target.cold_until:
        # It is slower than warm ones for a known time, and a query waits for
        # its slowest part. It is used when its peers are busy, and its answers
        # decide whether the penalty ends early.
        return True
    share = health.pace.share(now, health.half_life)
    return state.random.random() >= share


def _is_trial_request(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> bool:
    interval = state.request_interval_of(target.service)
    share = trial_probability(interval, state.vms_in_domain)
    if state.random.random() >= share:
        return False
    # The suspected target is likely to answer late, so that a hedge is needed.
    return state.budget_of(target.service).can_spend(now, state.bound_divisor)


def _refill_cold_tokens(
    state: DispatchState,
    target: TargetRecord,
    health: TargetHealth,
    now: float,
) -> float:
    limits = state.limits.cold
    declared = state.spec_of(target.service).cold_rate
    bound = declared * limits.overshoot + limits.slack
    rate = bound * _COLD_SHARE / state.bound_divisor
    if now >= health.cold_until:
        # A cold period begins. The VMs start with different parts of a token,
        # so that their first requests do not arrive together.
        health.cold_tokens = state.phase_of(target.target_id)
        health.cold_updated = now
        if state.limits.paces_returns:
            health.pace.begin('cold', target.cold_until)
    health.cold_until = target.cold_until
    elapsed = max(0, now - health.cold_updated)
    health.cold_updated = now
    health.cold_tokens = min(1, health.cold_tokens + elapsed * rate)
    return health.cold_tokens
