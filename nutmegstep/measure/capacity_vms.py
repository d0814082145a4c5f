"""VMs of one failure domain as state machines with a delivery loop.

The loop drives `nutmegstep.membership` and `nutmegstep.leases`.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Final

from nutmegstep.leases import (
    LeaseState,
    grant_targets,
    drop_expired,
    grant_to_self,
    record_grants,
    targets_to_request,
    lease_expiry_by_target,
)
from nutmegstep.clock import ManualClock
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
_BEAT_SECONDS: Final = 0.5
_LIST_SECONDS: Final = 5
_LIST_LAG_SECONDS: Final = 4
_LOSS: Final = 0.05
_LONGEST_DELAY_SECONDS: Final = 0.4
# Longest request to a cold target, as in nutmegstep.leases.
_REQUEST_SECONDS: Final = 2


@dataclass(frozen=True, slots=True)
class Rules:
    """What the declaration says."""

    required_vms: int
    targets: tuple[str, ...]


@dataclass(slots=True)
class Vm:
    """State of one VM; changed in place."""

    listed: ListedVm
    membership: MembershipState
    leases: LeaseState
    next_beat: float
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
    """All VMs of a failure domain and the messages between them.

    Parameters
    ----------
    rules : Rules
        What the declaration says.
    is_cut : Callable
        Whether messages between two VMs are lost.
    peak_senders : int
        Most VMs with a request to the same cold target in flight.
    loaded_steps : int
        Steps in which some VM could send to the first target.
    lost_holders : int
        VMs that went without closing their connections to targets.
    peak_holders : int
        Most VMs whose connections a target that notices no loss has open.
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
    """Start a VM with a name of its own and return the name."""
    now = domain.clock.monotonic()
    name = f'vm-{next(domain.numbers):04d}'
    identity = Identity(name, domain.random.getrandbits(64))
    phase = domain.random.uniform(0, _BEAT_SECONDS)
    domain.vms_by_name[name] = Vm(
        ListedVm(name, _NAME, name),
        MembershipState(identity, _NAME, now),
        LeaseState(identity, now),
        next_beat=now + phase,
        next_list=now + phase,
    )
    _publish_list(domain)
    return name


def kill(domain: Domain, name: str) -> None:
    """End a VM without a word to the others."""
    del domain.vms_by_name[name]
    domain.lost_holders += 1
    _publish_list(domain)


def pause(domain: Domain, name: str, seconds: float) -> None:
    """Pause a VM; its messages wait for its return."""
    vm = domain.vms_by_name[name]
    vm.running_from = domain.clock.monotonic() + seconds


def run_until(domain: Domain, end: float) -> None:
    """Deliver messages, send heartbeats and count the senders."""
    while domain.clock.monotonic() < end:
        domain.clock.advance(_STEP_SECONDS)
        _deliver_due(domain)
        now = domain.clock.monotonic()
        for vm in tuple(domain.vms_by_name.values()):
            if vm.running_from > now:
                continue
            if vm.next_beat <= now:
                _beat(domain, vm)
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
        _, number, name, take = heapq.heappop(domain.queue)
        vm = domain.vms_by_name.get(name)
        if vm is None:
            continue
        if vm.running_from > now:
            later = (vm.running_from, number, name, take)
            heapq.heappush(domain.queue, later)
            continue
        take(vm)


def _send(
    domain: Domain,
    sender: str,
    receiver: str,
    take: Callable[[Vm], None],
) -> None:
    if domain.is_cut(sender, receiver) or domain.random.random() < _LOSS:
        return
    delay = domain.random.uniform(0, _LONGEST_DELAY_SECONDS)
    due = domain.clock.monotonic() + delay
    delivery = (due, next(domain.numbers), receiver, take)
    heapq.heappush(domain.queue, delivery)


def _beat(domain: Domain, vm: Vm) -> None:
    now = domain.clock.monotonic()
    vm.next_beat = now + _BEAT_SECONDS
    record_tick(vm.membership, now)
    if vm.next_list <= now:
        vm.next_list = now + _LIST_SECONDS
        record_list(vm.membership, _lagging_list(domain), now)
    prune(vm.membership, now)
    drop_expired(vm.leases, now)
    vm.sequence += 1
    names = view(vm.membership, now) & roster(vm.membership, _NAME, now)
    wanted = targets_to_request(vm.identity.name, domain.rules.targets, names)
    asked = grant_to_self(vm.leases, wanted, vm.sequence, now)
    _update(domain, vm)
    take = _ask(domain, vm, asked, now)
    for name in tuple(vm.membership.members_by_name):
        _send(domain, vm.identity.name, name, take)


def _ask(
    domain: Domain,
    asker: Vm,
    asked: frozenset[str],
    sent: float,
) -> Callable[[Vm], None]:
    sequence = asker.sequence

    def take(giver: Vm) -> None:
        now = domain.clock.monotonic()
        if not _hear(giver, asker, now):
            return
        granted = grant_targets(
            giver.leases,
            asker.identity,
            asked,
            sequence,
            now,
        )
        reply = _grant(domain, giver, granted, sent)
        _send(domain, giver.identity.name, asker.identity.name, reply)

    return take


def _grant(
    domain: Domain,
    giver: Vm,
    granted: frozenset[str],
    sent: float,
) -> Callable[[Vm], None]:
    def take(asker: Vm) -> None:
        now = domain.clock.monotonic()
        if _hear(asker, giver, now):
            record_grants(asker.leases, giver.identity.name, granted, sent)
            _update(domain, asker)

    return take


def _hear(receiver: Vm, sender: Vm, now: float) -> bool:
    incarnation = sender.identity.incarnation
    return record_heartbeat(
        receiver.membership,
        sender.listed,
        incarnation,
        now,
    )


def _update(domain: Domain, vm: Vm) -> None:
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
        in_flight = sum(now - at < _REQUEST_SECONDS for at in sent.values())
        domain.peak_senders = max(domain.peak_senders, in_flight)
    first = domain.sent_by_target.get(domain.rules.targets[0], {})
    domain.loaded_steps += now in first.values()
    holders = len(domain.vms_by_name) + domain.lost_holders
    domain.peak_holders = max(domain.peak_holders, holders)
