"""Loss of contact with all targets, and the return of it.

A network partition can separate a VM from all targets while callers, the store
and the other VMs still reach it. When several targets in a row do not reply, the
VM opens connections to targets of all failure domains. If none accepts, it stops
trying its links with callers' requests, and goes on testing them.
"""

import math
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.control_events import HousekeepingDue, TargetChecked
from nutmegstep.dispatch.crash_control import (
    keep_records,
    log_evaluated,
    record_check,
    settle_losses,
)
from nutmegstep.dispatch.effects import CheckTarget, Decision, Effect
from nutmegstep.dispatch.state import DispatchState

__all__ = [
    'check_contact',
    'record_contact',
    'record_no_contact',
    'suspect_links',
    'probe_links',
]

_MS_PER_SECOND: Final = 1000
_MIN_FAILING_TARGETS: Final = 3
"""Targets without a reply in a row from which the links are suspected. Fewer may
have ended."""
_TEST_SECONDS: Final = 0.3
"""Time in which at least one target accepts a connection if the links work; the
time-out of such a connection and a margin."""
_TESTED_TARGETS: Final = 2
"""Targets to which a connection is opened at each further test. They are drawn
at random, as some may have ended."""
_FIRST_TESTED_TARGETS: Final = 6
"""Targets to which a connection is opened at the first test, beside those of all
failure domains. A request that crashes targets may have ended many at once."""
_RETEST_SECONDS: Final = 0.05
"""Shortest time between two tests of the links because of a crashed target."""


def record_no_contact(
    state: DispatchState, target: TargetRecord, now: float
) -> list[Effect]:
    """Record a send without a reply."""
    domain = target.failure_domain
    effects: list[Effect] = []
    if state.reachability_of(domain).record_no_reply(now):
        effects.append(Decision('domain_unreachable', '', {'domain': domain}))
    state.failing_targets.add(target.target_id)
    if len(state.failing_targets) >= _MIN_FAILING_TARGETS:
        effects.extend(suspect_links(state, now))
    return effects


def record_contact(
    state: DispatchState, target: TargetRecord, now: float
) -> list[Effect]:
    """Record that a target has replied or accepted a connection."""
    state.reachability_of(target.failure_domain).record_reply(now)
    state.failing_targets.clear()
    state.links_suspected_at = math.inf
    state.contact_at = now
    if not state.has_lost_targets:
        return [] if state.losses.is_empty else settle_losses(state, now)
    lost_ms = round((now - state.targets_lost_at) * _MS_PER_SECOND)
    state.targets_lost_at = math.inf
    inputs = {'target': target.target_id, 'lost_ms': lost_ms}
    # A target that could not be reached then need not have crashed.
    rechecked = state.losses.recheck(state.registry.by_id)
    targets = frozenset(one.target_id for one in rechecked)
    return [
        Decision('targets_regained', '', inputs),
        *log_evaluated(rechecked),
        *(CheckTarget(state.registry.by_id[name]) for name in targets),
    ]


def suspect_links(state: DispatchState, now: float) -> list[Effect]:
    """Open a connection to a target of each failure domain, unless suspected."""
    if state.has_lost_targets or state.links_suspected_at < math.inf:
        return []
    state.links_suspected_at = now
    state.links_tested_at = now
    targets = _shuffled_targets(state)
    by_domain = {one.failure_domain: one for one in targets}
    tested = {
        one.target_id: one
        for one in (*by_domain.values(), *targets[-_FIRST_TESTED_TARGETS:])
    }
    failing = sorted(state.failing_targets)
    return [
        Decision('links_suspected', '', {'failing_targets': failing}),
        *(CheckTarget(record) for record in tested.values()),
    ]


def check_contact(
    state: DispatchState, event: TargetChecked, now: float
) -> list[Effect]:
    """Record whether a target accepts connections."""
    effects = record_check(state, event, now)
    target = state.registry.by_id.get(event.target_id)
    if event.is_listening and target is not None:
        return [*effects, *record_contact(state, target, now)]
    return [*effects, *_confirm_crashes(state, now)]


def probe_links(
    state: DispatchState, event: HousekeepingDue, now: float
) -> list[Effect]:
    """Decide whether contact is lost, and test the links while it is."""
    records = [*keep_records(state, now), *_confirm_crashes(state, now)]
    if state.links_suspected_at == math.inf:
        return records
    if not state.has_lost_targets:
        return [*records, *_decide_contact(state, now)]
    return [*records, *_test_links(state, now)]


def _confirm_crashes(state: DispatchState, now: float) -> list[Effect]:
    """Open connections to other targets than those that seem to have crashed.

    A target that refuses connections need not have crashed: this VM may have
    lost its links.
    """
    unconfirmed = state.losses.unconfirmed_targets()
    if not unconfirmed or state.has_lost_targets:
        return []
    if state.registry.by_id.keys() <= unconfirmed:
        # No other target can show that the links work.
        state.contact_at = now
        return settle_losses(state, now)
    if now < state.links_tested_at + _RETEST_SECONDS:
        return []
    return _test_links(state, now)


def _test_links(state: DispatchState, now: float) -> list[Effect]:
    state.links_tested_at = now
    return [
        CheckTarget(one) for one in _shuffled_targets(state)[-_TESTED_TARGETS:]
    ]


def _shuffled_targets(state: DispatchState) -> list[TargetRecord]:
    """Return all targets at random, those last that have not failed."""
    targets = list(state.registry.by_id.values())
    state.random.shuffle(targets)
    targets.sort(key=lambda one: one.target_id not in state.failing_targets)
    return targets


def _decide_contact(state: DispatchState, now: float) -> list[Effect]:
    if now < state.links_suspected_at + _TEST_SECONDS:
        return []
    state.targets_lost_at = now
    domains = sorted(state.registry.failure_domains())
    return [Decision('targets_lost', '', {'domains': domains})]
