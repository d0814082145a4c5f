"""Handlers of operators' commands and of the status call."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace

from nutmegstep.control import control_document, state_from_document
from nutmegstep.declarations import (
    ControlChange,
    ControlSubject,
    Register,
    apply_change,
)
from nutmegstep.membership import forget, roster, suspected_names, view
from nutmegstep.node.alarms import alarms
from nutmegstep.node.state import NodeState, merge_control_state
from nutmegstep.peers import EntryStatus, Traffic

__all__ = ['apply_operator_change', 'entry_status', 'forget_vm', 'mark_leaving']

_log = logging.getLogger(__name__)


def apply_operator_change(state: NodeState, change: ControlChange) -> Register:
    """Apply a change of an operator to the withdrawals or drains.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    change : ControlChange
        The change.

    Returns
    -------
    Register
        Register of the failure domain or target after the change.
    """
    changed = apply_change(control_document(state.control), change)
    merge_control_state(state, state_from_document(changed))
    is_target = change.subject is ControlSubject.TARGET
    registers = (
        changed.targets_by_name
        if is_target
        else changed.failure_domains_by_name
    )
    register = registers.get(change.name, Register(0, withdrawn=False))
    _log.info(
        '%s set %s %s, counter %d',
        change.changed_by,
        change.name,
        'out of service' if change.withdrawn else 'in service',
        register.counter,
    )
    return register


def forget_vm(
    state: NodeState,
    name: str,
    forward: Callable[[str], None] | None,
) -> bool:
    """Drop a VM that an operator knows to be stopped from the roster.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    name : str
        Name of the VM.
    forward : Callable or None
        Called with the name to forward the command to the other VMs.

    Returns
    -------
    bool
        Whether the VM was known.
    """
    known = forget(state.membership, name)
    if forward is not None:
        forward(name)
    return known


def entry_status(
    state: NodeState,
    traffic: Traffic,
    now: float,
    *,
    is_ready: bool,
) -> EntryStatus:
    """Return the status that this VM reports to operators.

    Parameters
    ----------
    state : NodeState
        Not changed.
    traffic : Traffic
        Counts of the messages since the start.
    now : float
        Monotonic time in seconds.
    is_ready : bool
        Whether the caller interface is ready for requests.
    """
    domain = state.membership.failure_domain
    configuration = state.control.configuration
    withdrawn = _withdrawn_names(state.control.withdrawals_by_domain)
    in_service = domain not in withdrawn and not state.own.vm.leaving
    return EntryStatus(
        vm=state.own.vm.name,
        failure_domain=domain,
        ready=is_ready and in_service and configuration.generation > 0,
        generation=configuration.generation,
        configuration_digest=configuration.digest,
        highest_generation=max(
            state.highest_generation,
            configuration.generation,
        ),
        configuration_source=state.configuration_source,
        withdrawn=withdrawn,
        draining=_withdrawn_names(state.control.drains_by_target),
        view=tuple(sorted(view(state.membership, now))),
        suspected=tuple(sorted(suspected_names(state.membership, now))),
        roster=tuple(sorted(roster(state.membership, domain, now))),
        cold_targets_allowed=tuple(sorted(state.lease_expiry_by_target)),
        messages_by_call=dict(traffic.messages_by_call),
        bytes_by_call=dict(traffic.bytes_by_call),
        alarms=alarms(state, now),
    )


def mark_leaving(state: NodeState) -> None:
    """Mark this VM as leaving; from now on it requests no leases."""
    leaving = replace(state.own.vm, leaving=True)
    state.own = replace(state.own, vm=leaving)


def _withdrawn_names(
    registers_by_name: Mapping[str, Register],
) -> tuple[str, ...]:
    return tuple(
        name
        for name, register in sorted(registers_by_name.items())
        if register.withdrawn
    )
