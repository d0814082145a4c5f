"""Loss of contact with all targets, and the return of it.

A network partition can separate a VM from all targets while callers, the store
and the other VMs still reach it. The sends of such a VM fail in every failure
domain. It then stops trying them with callers' requests and tests its links by
opening connections.
"""

import math
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.control_events import HousekeepingDue, TargetChecked
from nutmegstep.dispatch.crash_control import record_check
from nutmegstep.dispatch.effects import CheckTarget, Decision, Effect
from nutmegstep.dispatch.state import DispatchState

__all__ = ['check_contact', 'record_contact', 'record_no_contact', 'test_links']

_MS_PER_SECOND: Final = 1000
_MIN_FAILING_TARGETS: Final = 3
"""Targets whose latest sends must have failed. Fewer may have ended."""
_TESTED_TARGETS: Final = 2
"""Targets to which a connection is opened at each test. They are drawn at
random, as some may have ended."""


def record_no_contact(
    state: DispatchState, target: TargetRecord, now: float
) -> list[Effect]:
    """Record a send without a reply.

    Contact counts as lost once the failure domains of all targets are
    unreachable and several targets fail.
    """
    domain = target.failure_domain
    effects: list[Effect] = []
    if state.reachability_of(domain).record_no_reply(now):
        effects.append(Decision('domain_unreachable', '', {'domain': domain}))
    if state.has_lost_targets or not _is_lost(state, now):
        return effects
    state.targets_lost_at = now
    domains = sorted(state.registry.failure_domains())
    lost = Decision('targets_lost', '', {'domains': domains})
    return [*effects, lost, *_open_connections(state)]


def record_contact(
    state: DispatchState, target: TargetRecord, now: float
) -> list[Effect]:
    """Record that a target has replied or accepted a connection."""
    state.reachability_of(target.failure_domain).record_reply(now)
    if not state.has_lost_targets:
        return []
    lost_ms = round((now - state.targets_lost_at) * _MS_PER_SECOND)
    state.targets_lost_at = math.inf
    inputs = {'target': target.target_id, 'lost_ms': lost_ms}
    return [Decision('targets_regained', '', inputs)]


def check_contact(
    state: DispatchState, event: TargetChecked, now: float
) -> list[Effect]:
    """Record whether a target accepts connections."""
    effects = record_check(state, event, now)
    target = state.registry.by_id.get(event.target_id)
    if event.is_listening and target is not None and state.has_lost_targets:
        effects.extend(record_contact(state, target, now))
    return effects


def test_links(
    state: DispatchState, event: HousekeepingDue, now: float
) -> list[Effect]:
    """Open connections to some targets while contact with all is lost."""
    return _open_connections(state) if state.has_lost_targets else []


def _is_lost(state: DispatchState, now: float) -> bool:
    domains = state.registry.failure_domains()
    if not all(
        state.reachability_of(one).is_unreachable(now) for one in domains
    ):
        return False
    failing = sum(
        health.consecutive_failures > 0
        for health in state.health_by_target.values()
    )
    return failing >= _MIN_FAILING_TARGETS


def _open_connections(state: DispatchState) -> list[Effect]:
    targets = tuple(state.registry.by_id.values())
    count = min(_TESTED_TARGETS, len(targets))
    return [CheckTarget(one) for one in state.random.sample(targets, count)]
