"""Membership state, updated from heartbeats and the platform's lists of VMs."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

__all__ = [
    'Identity',
    'ListedVm',
    'Member',
    'MembershipState',
    'forget',
    'record_heartbeat',
    'record_list',
    'record_tick',
]

# Ticks follow each other every 0.5 s. A longer gap than this shows that this
# process was paused; a busy event loop delays a tick by less than 1 s.
_PAUSE_SECONDS: Final = 1.5
_NEVER: Final = float('-inf')


@dataclass(frozen=True, slots=True, order=True)
class Identity:
    """Identity of one run of an entry process.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : int
        Random 64-bit number that the process draws when it starts.
    """

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry of the platform's list of VMs.

    Parameters
    ----------
    name : str
        Name of the VM.
    failure_domain : str
        Name of its failure domain.
    address : str
        Host and port for other VMs, such as ``127.0.0.1:7000``.
    leaving : bool
        Whether the VM has announced that it is shutting down.
    """

    name: str
    failure_domain: str
    address: str
    leaving: bool = False


@dataclass(slots=True)
class Member:
    """What is known about another VM.

    Parameters
    ----------
    vm : ListedVm
        Its entry in the last list or heartbeat.
    incarnation : int or None
        Incarnation in the last heartbeat; None before the first one.
    last_heartbeat : float
        Monotonic time in seconds of the last heartbeat.
    absent_since : float or None
        Monotonic time in seconds of the first platform list without the VM;
        None while it is listed.
    absent_until : float
        Monotonic time in seconds of the last platform list without the VM.
    past_incarnations : set of int
        Incarnations of earlier runs, whose late heartbeats are rejected.
    forgotten : bool
        Whether an operator has stated that the VM is gone. The next heartbeat
        of the VM resets it.
    """

    vm: ListedVm
    incarnation: int | None = None
    last_heartbeat: float = _NEVER
    absent_since: float | None = None
    absent_until: float = _NEVER
    past_incarnations: set[int] = field(default_factory=set)
    forgotten: bool = False


@dataclass(slots=True)
class MembershipState:
    """Other VMs as one process knows them; changed in place.

    All times are monotonic time in seconds, on the local clock.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    failure_domain : str
        Failure domain of this VM.
    started : float
        Time at which this process started.
    resumed_at : float
        Time at which this process started or last resumed from a pause.
        The time without a heartbeat of another VM is measured from then at
        the earliest.
    last_tick : float
        Time of the last call of `record_tick`.
    listed_at : float
        Time at which the last list of VMs was read from the platform.
    listed_vms : tuple of ListedVm
        The last list of VMs.
    members_by_name : dict
        Other VMs that were listed or sent a heartbeat.
    """

    identity: Identity
    failure_domain: str
    started: float
    resumed_at: float = _NEVER
    last_tick: float = _NEVER
    listed_at: float = _NEVER
    listed_vms: tuple[ListedVm, ...] = ()
    members_by_name: dict[str, Member] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start the measurement of pauses and missing heartbeats."""
        self.resumed_at = max(self.resumed_at, self.started)
        self.last_tick = max(self.last_tick, self.started)


def record_tick(state: MembershipState, now: float) -> bool:
    """Record that this process runs; return whether it was paused.

    Notes
    -----
    A paused process handles no heartbeats. After a pause it must not take the
    other VMs for dead, so the time without their heartbeats is measured from
    the end of the pause.
    """
    paused = now - state.last_tick > _PAUSE_SECONDS
    if paused:
        state.resumed_at = now
    state.last_tick = now
    return paused


def record_heartbeat(
    state: MembershipState,
    vm: ListedVm,
    incarnation: int,
    now: float,
) -> bool:
    """Record a heartbeat; return False if it comes from an earlier run.

    Parameters
    ----------
    state : MembershipState
        Changed in place.
    vm : ListedVm
        Sender of the heartbeat.
    incarnation : int
        Incarnation of the sender.
    now : float
        Monotonic time in seconds.

    Notes
    -----
    Incarnations are random and have no order. The first heartbeat with a new
    incarnation replaces the previous one, whose later heartbeats are rejected.
    """
    if vm.name == state.identity.name:
        return incarnation == state.identity.incarnation
    member = state.members_by_name.setdefault(vm.name, Member(vm))
    if incarnation in member.past_incarnations:
        return False
    previous = member.incarnation
    if previous is not None and previous != incarnation:
        member.past_incarnations.add(previous)
    member.vm = vm
    member.incarnation = incarnation
    member.last_heartbeat = max(member.last_heartbeat, now)
    member.forgotten = False
    return True


def record_list(
    state: MembershipState,
    vms: Iterable[ListedVm],
    listed_at: float,
) -> bool:
    """Record a platform list; return False if it is not newer than the last.

    Parameters
    ----------
    state : MembershipState
        Changed in place.
    vms : iterable of ListedVm
        VMs in the list, those that are leaving included.
    listed_at : float
        Monotonic time in seconds, on the local clock, at which a relay read the
        list from the platform.
    """
    if listed_at <= state.listed_at:
        return False
    state.listed_at = listed_at
    state.listed_vms = tuple(vms)
    for listed in state.listed_vms:
        _record_presence(state, listed)
    _record_absences(state)
    return True


def forget(state: MembershipState, name: str) -> bool:
    """Remove a VM from the roster; return whether it was known.

    Notes
    -----
    An operator may do this only when the VM is dead. Leases no longer need
    the grant of a VM that is not on the roster, so a VM that still runs could
    send to a cold target at the same time as another one.
    """
    member = state.members_by_name.get(name)
    if member is None:
        return False
    member.forgotten = True
    return True


def _record_presence(state: MembershipState, vm: ListedVm) -> None:
    if vm.name == state.identity.name:
        return
    member = state.members_by_name.setdefault(vm.name, Member(vm))
    member.vm = vm
    member.absent_since = None


def _record_absences(state: MembershipState) -> None:
    listed_names = {listed.name for listed in state.listed_vms}
    for name, member in state.members_by_name.items():
        if name in listed_names:
            continue
        if member.absent_since is None:
            member.absent_since = state.listed_at
        member.absent_until = state.listed_at
