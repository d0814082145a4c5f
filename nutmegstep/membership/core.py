"""Membership state, changed by heartbeats and platform lists."""

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

# A tick that is later than this shows that the own process was paused. The
# interval is 500 ms; a loop that is merely busy is late by less than a second.
_PAUSE_SECONDS: Final = 1.5
_NEVER: Final = float('-inf')


@dataclass(frozen=True, slots=True, order=True)
class Identity:
    """One run of an entry process.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : int
        Random number that the process draws at its start.
    """

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry of the platform's list of VMs."""

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
        Last known description.
    incarnation : int or None
        Of the last heartbeat; None when it was never heard.
    last_heartbeat : float
        Instant of the last heartbeat.
    absent_since : float or None
        Date of the first platform list without the VM; None while listed.
    absent_until : float
        Date of the last platform list without the VM.
    past_incarnations : set of int
        Earlier runs, whose late heartbeats are refused.
    forgotten : bool
        An operator stated that the VM is gone; a heartbeat takes it back.
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

    Parameters
    ----------
    identity : Identity
        The own process.
    failure_domain : str
        Of the own VM.
    started : float
        Instant of the start.
    resumed_at : float
        Instant at which the own process last started or came back from a
        pause; the silence of others is not counted before it.
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
        """Count silence and ticks from the start."""
        self.resumed_at = max(self.resumed_at, self.started)
        self.last_tick = max(self.last_tick, self.started)


def record_tick(state: MembershipState, now: float) -> bool:
    """Note that the own process runs; return whether it was paused.

    Notes
    -----
    A process that comes back from a pause has heard nobody meanwhile. It
    must not conclude that all others are gone.
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
    """Take a heartbeat; return False for one of an earlier run.

    Notes
    -----
    Incarnations are random, so they have no order. The first heartbeat of
    an unknown one ends the run before it for good.
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
    """Take a platform list; return False when it is not newer.

    Parameters
    ----------
    state : MembershipState
        Changed in place.
    vms : iterable of ListedVm
        Live and leaving VMs.
    listed_at : float
        Instant at which a relay read the list, on the own clock.
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
    """Drop a VM from the roster; return whether it was known.

    Notes
    -----
    Only for operators who know that the VM is dead: a VM that still acts
    could send to a cold target beside another one.
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
