"""Handles orders of roll-outs, and what VMs tell each other about them."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any, Final

from nutmegstep.dispatch.effects import Decision, Effect
from nutmegstep.dispatch.rollout_decider import (
    announce,
    decide,
    is_acting,
    add_report,
    send_report,
)
from nutmegstep.dispatch.rollout_events import (
    RolloutDirected,
    RolloutRemoved,
    RolloutReported,
    RolloutsListed,
    RolloutStored,
)
from nutmegstep.dispatch.rollout_record import Rollout
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.rollouts import Phase
from nutmegstep.rollouts.candidates import choose_candidates

__all__ = [
    'HANDLER_BY_EVENT',
    'advance_rollouts',
    'apply_directive',
    'list_orders',
    'record_report',
    'remove_order',
    'store_order',
]

_FOLLOW_SECONDS: Final = 1.5
"""Time after the word of a decider in which those after it are not followed."""
_ANNOUNCE_FINAL_SECONDS: Final = 5.0
"""Time for which the decider states a final phase, so that VMs that cannot read
the store learn of it."""


def list_orders(
    state: DispatchState, event: RolloutsListed, now: float
) -> list[Effect]:
    """Replace all orders; forget those that are not listed."""
    state.rollouts.is_listed = True
    listed = {one.service for one in event.orders}
    for service in tuple(state.rollouts.by_service):
        if service not in listed:
            state.rollouts.forget(service)
    # A store that was restored from a copy has lower revisions.
    for known in state.rollouts.by_service.values():
        known.order = replace(known.order, revision=0)
    return [
        effect
        for order in event.orders
        for effect in store_order(state, RolloutStored(order), now)
    ]


def store_order(
    state: DispatchState, event: RolloutStored, now: float
) -> list[Effect]:
    """Add an order, or the state that the store holds for it."""
    order = event.order
    known = state.rollouts.by_service.get(order.service)
    if known is not None and order.revision < known.order.revision:
        # An answer to a write may overtake the watch.
        return []
    before = known.phase if known else None
    is_new = state.rollouts.put(order, now, state.bound_divisor)
    after = state.rollouts.by_service[order.service].phase
    if not is_new and after is before:
        return []
    inputs = {
        'service': order.service,
        'version': order.version,
        'seconds': order.seconds,
        'stored': order.outcome.value if order.outcome else '',
        'phase': after.value,
    }
    return [Decision('rollout_stored', '', inputs)]


def remove_order(
    state: DispatchState, event: RolloutRemoved, now: float
) -> list[Effect]:
    """Forget an order that was deleted; its version gets nothing more."""
    if event.service not in state.rollouts.by_service:
        return []
    state.rollouts.forget(event.service)
    return [Decision('rollout_removed', '', {'service': event.service})]


def record_report(
    state: DispatchState, event: RolloutReported, now: float
) -> list[Effect]:
    """Add the report of a VM to the evidence; decide if that is urgent.

    Reports that arrived while this VM was paused may be old, so none counts until
    the store has been read again.
    """
    rollout = _find(state, event.report.service, event.report.version)
    if rollout is None or rollout.phase.is_final or now < state.refresh_until:
        return []
    add_report(rollout, event.sender, event.report, now)
    if rollout.phase is Phase.MOVED and is_acting(state, rollout, now):
        return decide(state, rollout, now)
    return []


def apply_directive(
    state: DispatchState, event: RolloutDirected, now: float
) -> list[Effect]:
    """Put the phase in force that a decider has stated.

    Words that arrived while this VM was paused may be old, so none but a final one
    counts until the store has been read again.
    """
    rollout = _find(state, event.service, event.version)
    is_old = now < state.refresh_until and not event.phase.is_final
    if rollout is None or is_old:
        return []
    candidates = choose_candidates(
        event.service, event.version, state.domain_by_vm
    )
    rank = (
        candidates.index(event.sender)
        if event.sender in candidates
        else len(candidates)
    )
    rollout.ordered_at = min(rollout.ordered_at, now - event.age)
    rollout.heard_at_by_rank[rank] = now
    if rollout.phase.is_final:
        return []
    is_superseded = (
        rank > rollout.directed_by
        and now < rollout.directed_at + _FOLLOW_SECONDS
    )
    if is_superseded and not event.phase.is_final:
        return []
    rollout.directed_by = rank
    rollout.directed_at = now
    if rollout.phase is event.phase:
        return []
    inputs = {
        'service': event.service,
        'version': event.version,
        'phase': event.phase.value,
        'previous': rollout.phase.value,
        'decider': event.sender,
    }
    rollout.phase_at = now
    if event.phase.is_final:
        state.rollouts.finish(rollout, event.phase, now)
    rollout.phase = event.phase
    # The decider waits for the word of every VM that it has moved.
    reports = (
        send_report(state, rollout, now) if event.phase is Phase.MOVED else []
    )
    return [Decision('rollout_phase', '', inputs), *reports]


def advance_rollouts(state: DispatchState, now: float) -> list[Effect]:
    """Report what this VM has seen, and decide where it is to."""
    if state.rollouts.limits is None:
        return []
    return [
        effect
        for rollout in tuple(state.rollouts.by_service.values())
        for effect in _advance(state, rollout, now)
    ]


def _advance(
    state: DispatchState, rollout: Rollout, now: float
) -> list[Effect]:
    effects: list[Effect] = []
    if not rollout.phase.is_final:
        effects.extend(send_report(state, rollout, now))
    if not is_acting(state, rollout, now):
        return effects
    effects.extend(decide(state, rollout, now))
    if (
        not rollout.phase.is_final
        or now < rollout.phase_at + _ANNOUNCE_FINAL_SECONDS
    ):
        effects.extend(announce(state, rollout, now))
    return effects


def _find(state: DispatchState, service: str, version: str) -> Rollout | None:
    rollout = state.rollouts.by_service.get(service)
    if rollout is None or rollout.order.version != version:
        return None
    return rollout


HANDLER_BY_EVENT: Final[
    Mapping[type, Callable[[DispatchState, Any, float], list[Effect]]]
] = MappingProxyType(
    {
        RolloutsListed: list_orders,
        RolloutStored: store_order,
        RolloutRemoved: remove_order,
        RolloutReported: record_report,
        RolloutDirected: apply_directive,
    }
)
