"""State of the control side of an entry process."""

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
    'HeardConfiguration',
    'NodeState',
    'adopt',
    'control_versions',
    'update_leases',
]


@dataclass(frozen=True, slots=True)
class HeardConfiguration:
    """Generation and digest that a VM or the platform reports."""

    generation: int
    digest: str


@dataclass(slots=True)
class NodeState:
    """Everything the control side knows; changed in place.

    Parameters
    ----------
    own : Process
        The own process.
    emit : Callable
        Takes engine events.
    wanted_targets : frozenset of str
        Cold targets to which this VM would send.
    forgotten_by_target : dict
        When the connections to a target were lost, in monotonic seconds.
    stored_registers_digest : int or None
        Digest of the registers last read from the platform.
    source : str
        Where the configuration in force came from.
    highest_generation : int
        Highest generation reported by the platform or another VM.
    platform_generation : int or None
        Generation last read from the platform.
    conflicts_by_source : dict
        Reported configurations with another digest at the generation that
        was in force then.
    """

    own: Process
    membership: MembershipState
    leases: LeaseState
    emit: Callable[[Event], None]
    control: ControlState = field(default_factory=ControlState)
    fleet: Fleet = field(default_factory=empty_fleet)
    wanted_targets: frozenset[str] = frozenset()
    lease_expiry_by_target: dict[str, float] = field(default_factory=dict)
    boot_by_target: dict[str, str] = field(default_factory=dict)
    learned_by_target: dict[str, float] = field(default_factory=dict)
    forgotten_by_target: dict[str, float] = field(default_factory=dict)
    sequence: int = 0
    stored_registers_digest: int | None = None
    source: str = 'none'
    highest_generation: int = 0
    platform_generation: int | None = None
    conflicts_by_source: dict[str, HeardConfiguration] = field(
        default_factory=dict,
    )


def adopt(state: NodeState, theirs: ControlState) -> bool:
    """Merge a control state and emit events; return whether it changed.

    Raises
    ------
    ValueError
        A document does not match its model. Withdrawals and drains are in
        force all the same.
    """
    merged = merge(state.control, theirs)
    registers_only = replace(
        state.control,
        withdrawals_by_domain=merged.withdrawals_by_domain,
        drains_by_target=merged.drains_by_target,
    )
    changed = _step(state, registers_only)
    return _step(state, merged) or changed


def control_versions(state: NodeState, now: float) -> ControlVersions:
    """Return the versions that a heartbeat carries."""
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
    """Emit `LeasesChanged` when a right was won, renewed or lost."""
    domain = state.membership.failure_domain
    required = state.fleet.entry_vms_by_domain.get(domain)
    current: dict[str, float] = {}
    if required is not None:
        names = roster(state.membership, domain, now)
        current = lease_expiry_by_target(state.leases, names, required, now)
    if current != state.lease_expiry_by_target:
        state.lease_expiry_by_target = current
        state.emit(LeasesChanged(current))


def _step(state: NodeState, after: ControlState) -> bool:
    events = changed_events(state.control, after)
    changed = after != state.control
    state.control = after
    for event in events:
        if isinstance(event, FleetChanged):
            state.fleet = event.fleet
        state.emit(event)
    return changed
