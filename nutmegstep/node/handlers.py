"""Functions that answer the calls of peers and operators."""

from collections.abc import Callable, Mapping
from dataclasses import replace

import orjson

from nutmegstep.control import control_document, state_of_control
from nutmegstep.declarations import (
    ControlChange,
    ControlSubject,
    Register,
    apply_change,
)
from nutmegstep.membership import forget, roster, suspected_names, view
from nutmegstep.node.state import NodeState, adopt
from nutmegstep.peers import Traffic

__all__ = ['apply_command', 'forget_vm', 'mark_leaving', 'status_document']


def apply_command(state: NodeState, change: ControlChange) -> Register:
    """Set a register as an operator asks and return it."""
    changed = apply_change(control_document(state.control), change)
    adopt(state, state_of_control(changed))
    is_target = change.subject is ControlSubject.TARGET
    registers = (
        changed.targets_by_name
        if is_target
        else changed.failure_domains_by_name
    )
    return registers.get(change.name, Register(0, withdrawn=False))


def forget_vm(
    state: NodeState,
    name: str,
    spread: Callable[[str], None] | None,
) -> bool:
    """Drop a dead VM from the roster; `spread` tells the other VMs."""
    known = forget(state.membership, name)
    if spread is not None:
        spread(name)
    return known


def status_document(state: NodeState, traffic: Traffic, now: float) -> bytes:
    """Return the JSON document of the operators' `Status`."""
    domain = state.membership.failure_domain
    return orjson.dumps(
        {
            'name': state.own.vm.name,
            'failure_domain': domain,
            'generation': state.control.configuration.generation,
            'configuration_digest': state.control.configuration.digest,
            'source': state.source,
            'withdrawals': _listed(state.control.withdrawals_by_domain),
            'drains': _listed(state.control.drains_by_target),
            'view': sorted(view(state.membership, now)),
            'suspected': sorted(suspected_names(state.membership, now)),
            'roster': sorted(roster(state.membership, domain, now)),
            'cold_targets_allowed': sorted(state.until_by_target),
            'messages_by_call': dict(traffic.messages_by_call),
            'bytes_by_call': dict(traffic.bytes_by_call),
        },
    )


def mark_leaving(state: NodeState) -> None:
    """Announce that the own VM leaves, so that it asks for no promise."""
    leaving = replace(state.own.vm, leaving=True)
    state.own = replace(state.own, vm=leaving)


def _listed(registers_by_name: Mapping[str, Register]) -> list[str]:
    return sorted(
        name
        for name, register in registers_by_name.items()
        if register.withdrawn
    )
