"""State of the control plane of an entry VM."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import orjson
from xxhash import xxh3_64_intdigest

from nutmegstep.control import (
    ControlState,
    catalogues_digest,
    changed_events,
    merge,
    registers_digest,
)
from nutmegstep.engine.events import Event, FleetChanged, LeasesChanged
from nutmegstep.engine.state import empty_fleet
from nutmegstep.leases import LeaseState, lease_expiry_by_target
from nutmegstep.membership import MembershipState, roster
from nutmegstep.model import Fleet
from nutmegstep.peers import ControlVersions, Process

__all__ = [
    'NodeState',
    'ReportedConfiguration',
    'control_versions',
    'merge_control_state',
    'update_leases',
]


@dataclass(frozen=True, slots=True)
class ReportedConfiguration:
    """Generation and digest of a configuration on a VM or the platform."""

    generation: int
    digest: str


@dataclass(slots=True)
class NodeState:
    """State of the control plane of this VM; changed in place.

    Parameters
    ----------
    own : Process
        Process and description of this VM.
    membership : MembershipState
        The other VMs.
    leases : LeaseState
        Grants that this VM gave and received.
    emit : Callable
        Called with each engine event.
    control : ControlState
        Control state in force.
    fleet : Fleet
        Decoded configuration in force.
    wanted_targets : frozenset of str
        Cold targets for which the engine needs leases.
    lease_expiry_by_target : dict
        Monotonic time in seconds at which each lease of this VM expires.
    warm_boot_id_by_target : dict
        Boot identifier of each target that is known to be warm.
    warm_seen_at_by_target : dict
        Monotonic time in seconds at which a VM saw that the target is warm.
    connections_lost_at_by_target : dict
        Monotonic time in seconds at which this VM lost its connections to a
        target of which no later warm report has arrived.
    sequence : int
        Sequence number of the last heartbeat.
    stored_registers_digest : int or None
        Digest of the withdrawals and drains on the platform, as last read or
        written by this VM.
    configuration_source : str
        Where the configuration in force came from: ``platform``, ``peers``
        or ``none``.
    highest_generation : int
        Highest generation that the platform or another VM has reported.
    platform_generation : int or None
        Generation last read from the platform.
    conflicts_by_source : dict
        Last reported configuration of each VM, and of the platform, that had
        another digest than the configuration in force with its generation.
    """

    own: Process
    membership: MembershipState
    leases: LeaseState
    emit: Callable[[Event], None]
    control: ControlState = field(default_factory=ControlState)
    fleet: Fleet = field(default_factory=empty_fleet)
    wanted_targets: frozenset[str] = frozenset()
    lease_expiry_by_target: dict[str, float] = field(default_factory=dict)
    warm_boot_id_by_target: dict[str, str] = field(default_factory=dict)
    warm_seen_at_by_target: dict[str, float] = field(default_factory=dict)
    connections_lost_at_by_target: dict[str, float] = field(
        default_factory=dict
    )
    sequence: int = 0
    stored_registers_digest: int | None = None
    configuration_source: str = 'none'
    highest_generation: int = 0
    platform_generation: int | None = None
    conflicts_by_source: dict[str, ReportedConfiguration] = field(
        default_factory=dict,
    )


def merge_control_state(state: NodeState, theirs: ControlState) -> bool:
    """Merge a control state into the own one and emit the engine events.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    theirs : ControlState
        Control state of the platform or of another VM.

    Returns
    -------
    bool
        Whether the own control state changed.

    Raises
    ------
    ValueError
        A document does not match its model. Its withdrawals and drains are in
        force nevertheless, because they are merged first.
    """
    merged = merge(state.control, theirs)
    registers_only = replace(
        state.control,
        withdrawals_by_domain=merged.withdrawals_by_domain,
        drains_by_target=merged.drains_by_target,
    )
    changed = _replace_control(state, registers_only)
    return _replace_control(state, merged) or changed


def control_versions(state: NodeState, now: float) -> ControlVersions:
    """Return the versions of the control state, for a heartbeat or a reply.

    Parameters
    ----------
    state : NodeState
        Not changed.
    now : float
        Monotonic time in seconds.
    """
    membership = state.membership
    vms = sorted(
        (vm.name, vm.address, vm.leaving) for vm in membership.listed_vms
    )
    age = now - membership.listed_at
    has_list = bool(membership.listed_vms)
    return ControlVersions(
        state.control.configuration.generation,
        state.control.configuration.digest,
        registers_digest(state.control),
        catalogues_digest(state.control),
        xxh3_64_intdigest(orjson.dumps(vms)),
        max(0, round(age * 1000)) if has_list else None,
    )


def update_leases(state: NodeState, now: float) -> None:
    """Emit `LeasesChanged` if a lease was won, renewed or lost.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    now : float
        Monotonic time in seconds.
    """
    domain = state.membership.failure_domain
    required = state.fleet.entry_vms_by_domain.get(domain)
    current: dict[str, float] = {}
    if required is not None:
        names = roster(state.membership, domain, now)
        current = lease_expiry_by_target(state.leases, names, required, now)
    if current != state.lease_expiry_by_target:
        state.lease_expiry_by_target = current
        state.emit(LeasesChanged(current))


def _replace_control(state: NodeState, after: ControlState) -> bool:
    events = changed_events(state.control, after)
    changed = after != state.control
    state.control = after
    for event in events:
        if isinstance(event, FleetChanged):
            state.fleet = event.fleet
        state.emit(event)
    return changed
