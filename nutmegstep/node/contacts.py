"""Whom a process contacts, and which processes are relays."""

from typing import Final

from nutmegstep.leases import highest_ranked, targets_to_request
from nutmegstep.membership import roster, view
from nutmegstep.node.state import NodeState

__all__ = ['choose_contacts', 'is_relay', 'lease_requests']

_RELAYS_PER_DOMAIN: Final = 2


def choose_contacts(state: NodeState) -> dict[str, str]:
    """Return the address of each VM to exchange with, by name.

    Notes
    -----
    All known VMs at today's size. Cells at the design size change only this
    function.
    """
    return {
        name: member.vm.address
        for name, member in state.membership.members_by_name.items()
    }


def is_relay(state: NodeState, now: float) -> bool:
    """Return whether the own process holds the watch for its domain."""
    domain = state.membership.failure_domain
    names = view(state.membership, now) & roster(state.membership, domain, now)
    relays = highest_ranked(domain, names, _RELAYS_PER_DOMAIN)
    return state.own.vm.name in relays


def lease_requests(state: NodeState, now: float) -> frozenset[str]:
    """Return the targets for which the own process asks."""
    if state.own.vm.leaving:
        return frozenset()
    domain = state.membership.failure_domain
    wanted = (
        name
        for name in state.wanted_targets
        if name in state.fleet.targets_by_name
        and state.fleet.targets_by_name[name].failure_domain == domain
    )
    names = view(state.membership, now) & roster(state.membership, domain, now)
    members = state.membership.members_by_name
    staying = {
        name
        for name in names
        if name not in members or not members[name].vm.leaving
    }
    return targets_to_request(state.own.vm.name, wanted, staying)
