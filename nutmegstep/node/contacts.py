"""Which VMs this VM contacts, whether it is a relay, and what it requests."""

from typing import Final

from nutmegstep.leases import highest_ranked, targets_to_request
from nutmegstep.membership import roster, view
from nutmegstep.node.state import NodeState

__all__ = ['contact_addresses', 'is_relay', 'lease_requests']

_RELAYS_PER_DOMAIN: Final = 2


def contact_addresses(state: NodeState) -> dict[str, str]:
    """Return the addresses of the VMs that get heartbeats, by VM name.

    Notes
    -----
    These are all other known VMs. A fleet that is too large for that could be
    divided into cells of VMs; only this function would have to change.
    """
    return {
        name: member.vm.address
        for name, member in state.membership.members_by_name.items()
    }


def is_relay(state: NodeState, now: float) -> bool:
    """Return whether this VM is a relay of its failure domain.

    Notes
    -----
    Two VMs of each failure domain are relays: they watch the objects of the
    platform, read the VM list and pass both on to the other VMs. Relays are
    chosen by rendezvous hashing among the VMs that are on the roster and not
    down.
    """
    domain = state.membership.failure_domain
    names = view(state.membership, now) & roster(state.membership, domain, now)
    relays = highest_ranked(domain, names, _RELAYS_PER_DOMAIN)
    return state.own.vm.name in relays


def lease_requests(state: NodeState, now: float) -> frozenset[str]:
    """Return the cold targets whose leases this VM requests.

    Parameters
    ----------
    state : NodeState
        Not changed.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    frozenset of str
        Wanted targets of the failure domain of this VM for which it ranks
        highest among the VMs that are not leaving; none if it is leaving
        itself.
    """
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
