"""Handles changes of the configuration, the targets, the withdrawn failure
domains and the number of VMs.
"""

from itertools import chain
from typing import Final

from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    DomainsWithdrawn,
    HousekeepingDue,
    ProcessResumed,
    StoreRecovered,
    StoreRefreshed,
    StoreRestored,
    TargetAnnounced,
    TargetRemoved,
    TargetsListed,
    TargetsSuspected,
    VmsCounted,
)
from nutmegstep.dispatch.effects import Decision, DropTarget, Effect
from nutmegstep.dispatch.reporting import record_report
from nutmegstep.dispatch.pacing import begin_relisted, begin_restarted
from nutmegstep.dispatch.state import DispatchState

__all__ = [
    'apply_configuration',
    'await_refresh',
    'distrust_copy',
    'end_refresh',
    'expire_targets',
    'record_reports',
    'remove_target',
    'replace_targets',
    'set_vm_counts',
    'set_withdrawn_domains',
    'start_return_grace',
    'update_target',
]

_KEEP_WITHDRAWALS_SECONDS: Final = 5.0
"""Time after a restoration of the store in which the operators write the
withdrawals again that it has lost."""


def apply_configuration(
    state: DispatchState,
    event: ConfigurationChanged,
    now: float,
) -> list[Effect]:
    """Replace the configuration if the version that was read is newer."""
    known = state.configuration.version if state.configuration else 0
    offered = event.configuration.version
    if state.configuration is not None and offered <= known:
        return []
    state.configuration = event.configuration
    inputs = {'version': offered, 'previous': known}
    return [Decision('configuration_in_force', '', inputs)]


def replace_targets(
    state: DispatchState,
    event: TargetsListed,
    now: float,
) -> list[Effect]:
    """Replace all targets with a complete list; drop those not listed."""
    dropped = state.registry.replace_all(event.records_by_id, now)
    state.has_targets = True
    listed = Decision(
        'targets_listed', '', {'count': len(state.registry.by_id)}
    )
    return [listed, *_drop(state, dropped), *begin_relisted(state, now)]


def update_target(
    state: DispatchState,
    event: TargetAnnounced,
    now: float,
) -> list[Effect]:
    """Add or update a target from its announcement.

    Connections to an earlier incarnation of the target are closed.
    """
    target_id = event.record.target_id
    known = state.registry.by_id.get(target_id)
    is_new = state.registry.update(event.record, now)
    record = state.registry.by_id.get(target_id)
    if record is None:
        return [Decision('target_held', '', {'target': target_id})]
    is_logged = (
        is_new or known is None or known.is_draining != record.is_draining
    )
    effects: list[Effect] = []
    if known is not None and is_new:
        effects.append(DropTarget(record.target_id))
    if is_new and state.has_targets:
        effects.extend(begin_restarted(state, record, now))
    if is_logged:
        inputs = {
            'target': record.target_id,
            'service': record.service,
            'draining': record.is_draining,
            'cold_ms': max(0, round((record.cold_until - now) * 1000)),
        }
        effects.append(Decision('target_announced', '', inputs))
    return effects


def remove_target(
    state: DispatchState,
    event: TargetRemoved,
    now: float,
) -> list[Effect]:
    """Drop a target whose announcement was deleted or cannot be read."""
    if state.registry.remove(event.target_id, now):
        return _drop(state, (event.target_id,))
    return []


def set_withdrawn_domains(
    state: DispatchState,
    event: DomainsWithdrawn,
    now: float,
) -> list[Effect]:
    """Replace the set of withdrawn failure domains.

    After a restoration of the store, domains are only added for some time.
    """
    state.stored_withdrawals = event.domains
    return _update_withdrawals(state, now)


def await_refresh(
    state: DispatchState,
    event: ProcessResumed,
    now: float,
) -> list[Effect]:
    """Send nothing until the changes of the pause are known."""
    state.require_refresh(now)
    return [Decision('process_resumed', '', {})]


def end_refresh(
    state: DispatchState,
    event: StoreRefreshed,
    now: float,
) -> list[Effect]:
    """Send again, since the store has been read after a pause."""
    state.refresh_until = now
    return [Decision('store_refreshed', '', {})]


def start_return_grace(
    state: DispatchState,
    event: StoreRecovered,
    now: float,
) -> list[Effect]:
    """Keep targets whose announcements are missing, for a limited time.

    Announcements expire while the store is unreachable, and live targets
    renew them shortly after it has recovered.
    """
    state.registry.start_return_grace(now)
    return []


def distrust_copy(
    state: DispatchState,
    event: StoreRestored,
    now: float,
) -> list[Effect]:
    """Keep for a limited time what the copy of the store does not know.

    It lacks the targets that were announced since it was made, and holds those
    that have left since. Live targets renew their announcements, and those of
    the others expire. It also lacks the latest withdrawals, until the operators
    have written them again, and the latest crash records and their deletions,
    which the VMs repeat.
    """
    state.registry.start_return_grace(now)
    state.registry.start_hold(now)
    state.keep_withdrawals_until = now + _KEEP_WITHDRAWALS_SECONDS
    state.crashes.awaits_copy = True
    return [Decision('store_restored', '', {})]


def set_vm_counts(
    state: DispatchState,
    event: VmsCounted,
    now: float,
) -> list[Effect]:
    """Replace the numbers of VMs that share the targets, and the coordinators."""
    state.domain_by_vm = event.domain_by_vm
    state.account_limits.record_count(
        state.own_name,
        frozenset(event.domain_by_vm),
        now,
        is_counted=event.is_counted,
    )
    known = (state.vm_count, state.vms_in_domain, state.coordinators)
    if (event.count, event.in_domain, event.coordinators) == known:
        return []
    state.coordinators = event.coordinators
    state.coordinator_health.retain(
        chain(
            event.coordinators.addresses,
            event.coordinators.remote_addresses,
            event.coordinators.substitutes,
        )
    )
    state.vm_count = event.count
    state.vms_in_domain = event.in_domain
    inputs = {
        'count': event.count,
        'in_domain': event.in_domain,
        'coordinators': event.coordinators.addresses,
        'is_coordinator': event.coordinators.is_coordinator,
    }
    return [Decision('vms_counted', '', inputs)]


def record_reports(
    state: DispatchState,
    event: TargetsSuspected,
    now: float,
) -> list[Effect]:
    """Record the reports of another VM; ignore those about unknown targets."""
    return [
        decision
        for target_id in event.target_ids
        if target_id in state.registry.by_id
        for decision in record_report(
            state, state.registry.by_id[target_id], now, event.reporter
        )
    ]


def expire_targets(
    state: DispatchState,
    event: HousekeepingDue,
    now: float,
) -> list[Effect]:
    """Drop targets that were kept after an outage of the store and have not
    renewed their announcement in time, and the limits of departed targets.
    End withdrawals that the store has not held for some time after its
    restoration.
    """
    dropped = state.registry.expire(now)
    state.request_limits.forget_departed(state.registry.by_id, now)
    return [
        *_drop(state, dropped),
        *_update_withdrawals(state, now),
    ]


def _update_withdrawals(state: DispatchState, now: float) -> list[Effect]:
    domains = state.stored_withdrawals
    if now < state.keep_withdrawals_until:
        domains |= state.withdrawn_domains
    if domains == state.withdrawn_domains:
        return []
    state.withdrawn_domains = domains
    return [Decision('domains_withdrawn', '', {'domains': sorted(domains)})]


def _drop(state: DispatchState, target_ids: tuple[str, ...]) -> list[Effect]:
    effects: list[Effect] = []
    for target_id in target_ids:
        # Pending sends hold the record that they need; only the health
        # estimates of the target are deleted.
        state.health_by_target.pop(target_id, None)
        effects.append(DropTarget(target_id))
        effects.append(Decision('target_dropped', '', {'target': target_id}))
    return effects
