"""Simulation of the VMs of one failure domain and of their messages.

The VMs run the real state machines of `nutmegstep.membership` and
`nutmegstep.leases`; messages are delayed and lost at random.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Final

from nutmegstep.clock import ManualClock
from nutmegstep.leases import (
    LeaseState,
    drop_expired,
    grant_targets,
    grant_to_self,
    lease_expiry_by_target,
    record_grants,
    targets_to_request,
)
from nutmegstep.membership import (
    Identity,
    ListedVm,
    MembershipState,
    prune,
    record_heartbeat,
    record_list,
    record_tick,
    roster,
    view,
)

__all__ = ['Domain', 'Rules', 'Vm', 'kill', 'pause', 'run_until', 'start_vm']

_NAME: Final = 'domain-1'
_STEP_SECONDS: Final = 0.05
_HEARTBEAT_SECONDS: Final = 0.5
_LIST_SECONDS: Final = 5
_LIST_LAG_SECONDS: Final = 4
_LOSS_PROBABILITY: Final = 0.05
_MAX_DELAY_SECONDS: Final = 0.4
# Maximum length of a request to a cold target, as in nutmegstep.leases.
_MAX_REQUEST_SECONDS: Final = 2


@dataclass(frozen=True, slots=True)
class Rules:
    """Declared properties of the failure domain.

    Parameters
    ----------
    required_vms : int
        Declared number of VMs.
    targets : tuple of str
        Names of the cold targets.
    """

    required_vms: int
    targets: tuple[str, ...]


@dataclass(slots=True)
class Vm:
    """State of one VM; changed in place.

    Parameters
    ----------
    listed : ListedVm
        Entry of the VM on the list of the platform.
    membership : MembershipState
        State machine of the membership.
    leases : LeaseState
        State machine of the leases.
    next_heartbeat, next_list : float
        Monotonic time in seconds of the next heartbeat and list.
    sequence : int
        Sequence number of the latest heartbeat.
    running_from : float
        Monotonic time in seconds until which the VM is paused.
    lease_expiry_by_target : dict
        Monotonic time in seconds until which the VM may send, by target.
    """

    listed: ListedVm
    membership: MembershipState
    leases: LeaseState
    next_heartbeat: float
    next_list: float
    sequence: int = 0
    running_from: float = 0
    lease_expiry_by_target: dict[str, float] = field(default_factory=dict)

    @property
    def identity(self) -> Identity:
        """Identity of the process."""
        return self.membership.identity


_Delivery = tuple[float, int, str, Callable[[Vm], None]]


@dataclass(slots=True)
class Domain:
    """All VMs of a failure domain and the messages between them; changed in place.

    Parameters
    ----------
    rules : Rules
        Declared properties of the failure domain.
    random : random.Random
        Source of delays, losses and identifiers.
    clock : ManualClock
        Simulated monotonic time in seconds.
    is_cut : Callable
        Returns whether all messages from a sender to a receiver are lost.
    vms_by_name : dict
        Running and paused VMs by name.
    lists : list
        Lists of VMs that the platform published, each with its time.
    queue : list
        Heap of the messages in flight by the time of their delivery.
    numbers : itertools.count
        Source of numbers for VM names and messages.
    sent_by_target : dict
        Time of the latest request of each process, by target.
    peak_senders : int
        Maximum number of VMs with a request to the same cold target in flight.
    steps : int
        Number of steps of the simulation.
    loaded_steps : int
        Number of steps in which some VM could send to the first target.
    lost_holders : int
        Number of VMs that ended without closing their connections to targets.
    peak_holders : int
        Maximum number of VMs, lost ones included, whose connections are open at
        a target that does not notice their loss.
    """

    rules: Rules
    random: Random
    clock: ManualClock = field(default_factory=ManualClock)
    is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
    vms_by_name: dict[str, Vm] = field(default_factory=dict)
    lists: list[tuple[float, tuple[ListedVm, ...]]] = field(
        default_factory=list,
    )
    queue: list[_Delivery] = field(default_factory=list)
    numbers: 'count[int]' = field(default_factory=count)
    sent_by_target: dict[str, dict[Identity, float]] = field(
        default_factory=dict,
    )
    peak_senders: int = 0
    steps: int = 0
    loaded_steps: int = 0
    lost_holders: int = 0
    peak_holders: int = 0


def start_vm(domain: Domain) -> str:
    """Start a VM with a new name and return the name."""
    now = domain.clock.monotonic()
    name = f'vm-{next(domain.numbers):04d}'
    identity = Identity(name, domain.random.getrandbits(64))
    phase = domain.random.uniform(0, _HEARTBEAT_SECONDS)
    domain.vms_by_name[name] = Vm(
        ListedVm(name, _NAME, name),
        MembershipState(identity, _NAME, now),
        LeaseState(identity, now),
        next_heartbeat=now + phase,
        next_list=now + phase,
    )
    _publish_list(domain)
    return name


def kill(domain: Domain, name: str) -> None:
    """End a VM without a message to the others."""
    del domain.vms_by_name[name]
    domain.lost_holders += 1
    _publish_list(domain)


def pause(domain: Domain, name: str, seconds: float) -> None:
    """Pause a VM; messages to it are delivered when it resumes."""
    vm = domain.vms_by_name[name]
    vm.running_from = domain.clock.monotonic() + seconds


def run_until(domain: Domain, end: float) -> None:
    """Run the simulation until a monotonic time in seconds."""
    while domain.clock.monotonic() < end:
        domain.clock.advance(_STEP_SECONDS)
        _deliver_due(domain)
        now = domain.clock.monotonic()
        for vm in tuple(domain.vms_by_name.values()):
            if vm.running_from > now:
                continue
            if vm.next_heartbeat <= now:
                _send_heartbeat(domain, vm)
            _send_to_targets(domain, vm)
        _count_senders(domain)


def _publish_list(domain: Domain) -> None:
    listed = tuple(vm.listed for vm in domain.vms_by_name.values())
    domain.lists.append((domain.clock.monotonic(), listed))


def _lagging_list(domain: Domain) -> tuple[ListedVm, ...]:
    latest = domain.clock.monotonic() - _LIST_LAG_SECONDS
    visible = [vms for at, vms in domain.lists if at <= latest]
    return visible[-1] if visible else ()


def _deliver_due(domain: Domain) -> None:
    now = domain.clock.monotonic()
    while domain.queue and domain.queue[0][0] <= now:
        _, number, name, handle_message = heapq.heappop(domain.queue)
        vm = domain.vms_by_name.get(name)
        if vm is None:
            continue
        if vm.running_from > now:
            later = (vm.running_from, number, name, handle_message)
            heapq.heappush(domain.queue, later)
            continue
        handle_message(vm)


def _send(
    domain: Domain,
    sender: str,
    receiver: str,
    handle_message: Callable[[Vm], None],
) -> None:
    if (
        domain.is_cut(sender, receiver)
        or domain.random.random() < _LOSS_PROBABILITY
    ):
        return
    delay = domain.random.uniform(0, _MAX_DELAY_SECONDS)
    due = domain.clock.monotonic() + delay
    delivery = (due, next(domain.numbers), receiver, handle_message)
    heapq.heappush(domain.queue, delivery)


def _send_heartbeat(domain: Domain, vm: Vm) -> None:
    now = domain.clock.monotonic()
    vm.next_heartbeat = now + _HEARTBEAT_SECONDS
    record_tick(vm.membership, now)
    if vm.next_list <= now:
        vm.next_list = now + _LIST_SECONDS
        record_list(vm.membership, _lagging_list(domain), now)
    prune(vm.membership, now)
    drop_expired(vm.leases, now)
    vm.sequence += 1
    names = view(vm.membership, now) & roster(vm.membership, _NAME, now)
    wanted = targets_to_request(vm.identity.name, domain.rules.targets, names)
    requested = grant_to_self(vm.leases, wanted, vm.sequence, now)
    _update_leases(domain, vm)
    handle_message = _request_leases(domain, vm, requested, now)
    for name in tuple(vm.membership.members_by_name):
        _send(domain, vm.identity.name, name, handle_message)


def _request_leases(
    domain: Domain,
    requester: Vm,
    requested: frozenset[str],
    sent: float,
) -> Callable[[Vm], None]:
    sequence = requester.sequence

    def handle_message(granter: Vm) -> None:
        now = domain.clock.monotonic()
        if not _record_sender(granter, requester, now):
            return
        granted = grant_targets(
            granter.leases,
            requester.identity,
            requested,
            sequence,
            now,
        )
        reply = _reply_with_grants(domain, granter, granted, sent)
        _send(domain, granter.identity.name, requester.identity.name, reply)

    return handle_message


def _reply_with_grants(
    domain: Domain,
    granter: Vm,
    granted: frozenset[str],
    sent: float,
) -> Callable[[Vm], None]:
    def handle_message(requester: Vm) -> None:
        now = domain.clock.monotonic()
        if _record_sender(requester, granter, now):
            record_grants(
                requester.leases, granter.identity.name, granted, sent
            )
            _update_leases(domain, requester)

    return handle_message


def _record_sender(receiver: Vm, sender: Vm, now: float) -> bool:
    incarnation = sender.identity.incarnation
    return record_heartbeat(
        receiver.membership,
        sender.listed,
        incarnation,
        now,
    )


def _update_leases(domain: Domain, vm: Vm) -> None:
    now = domain.clock.monotonic()
    vm.lease_expiry_by_target = lease_expiry_by_target(
        vm.leases,
        roster(vm.membership, _NAME, now),
        domain.rules.required_vms,
        now,
    )


def _send_to_targets(domain: Domain, vm: Vm) -> None:
    now = domain.clock.monotonic()
    for target, until in vm.lease_expiry_by_target.items():
        if until > now:
            sent = domain.sent_by_target.setdefault(target, {})
            sent[vm.identity] = now


def _count_senders(domain: Domain) -> None:
    now = domain.clock.monotonic()
    domain.steps += 1
    for target in domain.rules.targets:
        sent = domain.sent_by_target.get(target, {})
        in_flight = sum(now - at < _MAX_REQUEST_SECONDS for at in sent.values())
        domain.peak_senders = max(domain.peak_senders, in_flight)
    first = domain.sent_by_target.get(domain.rules.targets[0], {})
    domain.loaded_steps += now in first.values()
    holders = len(domain.vms_by_name) + domain.lost_holders
    domain.peak_holders = max(domain.peak_holders, holders)
