"""Paces targets that have started or recovered; see `nutmegstep.pace`.

Nothing here acts unless the settings call for it, `DispatchLimits.paces_returns`.
"""

import math
from collections.abc import Collection
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import Decision, Effect
from nutmegstep.dispatch.health import TargetHealth
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.pace import is_as_fast, peers_slowness

__all__ = [
    'begin_relisted',
    'begin_restarted',
    'has_warm_peer',
    'is_paced',
    'record_paced_answer',
    'record_paced_failure',
]

_MIN_FAILURES: Final = 2
"""Sends in a row without a reply after which a target that replies again is
paced. A single one may be a lost packet."""
_SLOW: Final = 2.0
"""Slowness, relative to the peers, from which an answer as fast as theirs is
evidence of a recovery."""
_RECOVERED: Final = 1.3
"""Such an answer, as a multiple of the peers' mean. One of twice that would often
be the luck of a target that is still slow: service times vary by a third."""


def begin_restarted(
    state: DispatchState, target: TargetRecord, now: float
) -> list[Effect]:
    """Pace a target that is announced for the first time or was restarted."""
    cause = 'cold' if now < target.cold_until else 'restarted'
    return _begin(state, target, cause, max(now, target.cold_until))


def begin_relisted(state: DispatchState, now: float) -> list[Effect]:
    """Pace the targets that a complete list shows to have been restarted."""
    if not state.limits.paces_returns:
        return []
    return [
        effect
        for target in state.registry.by_id.values()
        if _is_restarted(state, target)
        for effect in begin_restarted(state, target, now)
    ]


def has_warm_peer(
    state: DispatchState,
    targets: Collection[TargetRecord],
    now: float,
) -> bool:
    """Return whether some of the targets are paced, and others not.

    If all are, as after a power cut, none is held back for the others.
    """
    if not state.limits.paces_returns:
        return False
    paced = sum(is_paced(state.health_of(target), now) for target in targets)
    return 0 < paced < len(targets)


def is_paced(health: TargetHealth, now: float) -> bool:
    """Return whether a target gets less than its load after a return.

    A suspected target is held back by its suspicion.
    """
    if health.suspicion.is_active(now):
        return False
    return health.pace.is_active(now, health.half_life)


def record_paced_answer(
    state: DispatchState,
    target: TargetRecord,
    ratio: float,
    now: float,
) -> list[Effect]:
    """Change the pace of a target after an answer, or begin one.

    To be called before the health of the target is changed.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher.
    target : TargetRecord
        The target.
    ratio : float
        Latency of the answer over the route's median.
    now : float
        Monotonic time in seconds.
    """
    if not state.limits.paces_returns:
        return []
    health = state.health_of(target)
    if is_paced(health, now):
        return _change(state, target, ratio, now)
    cause = ''
    if health.consecutive_failures >= _MIN_FAILURES:
        cause = 'regained'
    elif health.slowness(now) >= _SLOW:
        peers = _peers_slowness(state, target, now)
        is_slow = health.slowness(now) >= _SLOW * peers
        is_fast = ratio <= _RECOVERED * peers
        cause = 'fast_again' if is_slow and is_fast else ''
    return _begin(state, target, cause, now) if cause else []


def record_paced_failure(
    state: DispatchState, target: TargetRecord, now: float
) -> list[Effect]:
    """Slow the pace of a target after a failure or a rejection."""
    if not is_paced(state.health_of(target), now):
        return []
    return _change(state, target, math.inf, now)


def _begin(
    state: DispatchState, target: TargetRecord, cause: str, at: float
) -> list[Effect]:
    if not state.limits.paces_returns:
        return []
    state.health_of(target).pace.begin(cause, at)
    return [_decision('pace_begun', target, cause)]


def _change(
    state: DispatchState, target: TargetRecord, ratio: float, now: float
) -> list[Effect]:
    health = state.health_of(target)
    cause = health.pace.cause
    peers = _peers_slowness(state, target, now)
    if health.pace.observe(ratio, peers, now):
        health.settle(now)
        return [_decision('pace_ended', target, cause)]
    if is_as_fast(ratio, peers):
        return []
    return [_decision('pace_slowed', target, cause)]


def _peers_slowness(
    state: DispatchState, target: TargetRecord, now: float
) -> float:
    peers = (
        state.health_of(peer)
        for peer in state.registry.of_service(target.service)
        if peer.target_id != target.target_id
    )
    return peers_slowness(
        [
            health.slowness(now)
            for health in peers
            if not (health.is_blocked(now) or is_paced(health, now))
        ]
    )


def _is_restarted(state: DispatchState, target: TargetRecord) -> bool:
    known = state.health_by_target.get(target.target_id)
    return known is not None and known.started_ms != target.started_ms


def _decision(name: str, target: TargetRecord, cause: str) -> Decision:
    return Decision(name, '', {'target': target.target_id, 'cause': cause})
