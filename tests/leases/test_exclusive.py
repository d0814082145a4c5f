"""Property test: at most one VM at a time sends to a cold target."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import pytest
from hypothesis import given, seed, settings, strategies

from nutmegstep.clock import ManualClock
from nutmegstep.leases import (
    LeaseState,
    drop_expired,
    grant_targets,
    grant_to_self,
    lease_expiry_by_target,
    record_grants,
    record_release,
    release_all,
    targets_to_request,
)
from nutmegstep.membership import Identity

_STEP_SECONDS = 0.125
_REQUEST_SECONDS = 2
_REQUEST_SHARE = 0.25
_NAMES = ('a', 'b', 'c', 'd')
_TARGET = 't'
_DELAYS_SECONDS = (0, 0, 0, 0, 0, 0, 0, _STEP_SECONDS, 0.5, 4)
_sequences = itertools.count(1)


@dataclass(slots=True)
class _Vm:
    state: LeaseState
    paused_until: float = 0
    until: float = 0
    roster: frozenset[str] = frozenset(_NAMES)
    inbox: list[tuple[float, Callable[[], None]]] = field(default_factory=list)


class _Exchange:
    """Simulated VMs whose messages are lost, delayed and reordered.

    VMs are also paused and restarted, and their rosters differ.

    Parameters
    ----------
    random : random.Random
        Source of all random choices.
    faults : float
        Share of lost messages; the other faults are rarer by fixed factors.
    """

    def __init__(self, random: Random, faults: float) -> None:
        self.random = random
        self.faults = faults
        self.clock = ManualClock()
        self.last_sent: dict[Identity, float] = {}
        self.holders: set[Identity] = set()
        self.vm_by_name = {name: self._start(name) for name in _NAMES}

    def step(self) -> None:
        """Let every VM that is not paused act once, and check after each."""
        now = self.clock.monotonic()
        for name in self.random.sample(_NAMES, len(_NAMES)):
            self._inject_fault(name, self.vm_by_name[name])
            if now >= self.vm_by_name[name].paused_until:
                self._run(self.vm_by_name[name])
            self.check()
        self.clock.advance(_STEP_SECONDS)

    def check(self) -> None:
        """Check that at most one process has a request in flight."""
        now = self.clock.monotonic()
        busy = [
            identity
            for identity, sent in self.last_sent.items()
            if now < sent + _REQUEST_SECONDS
        ]
        assert len(busy) <= 1, f'{busy} at {now}'

    def _start(self, name: str) -> _Vm:
        identity = Identity(name, self.random.getrandbits(64))
        return _Vm(LeaseState(identity, self.clock.monotonic()))

    def _post(self, name: str, action: Callable[[], None]) -> None:
        if self.random.random() < self.faults:
            return
        delay = self.random.choice(_DELAYS_SECONDS) * bool(self.faults)
        due = self.clock.monotonic() + delay
        self.vm_by_name[name].inbox.append((due, action))

    def _request(self, vm: _Vm) -> None:
        sent = self.clock.monotonic()
        sequence = next(_sequences)
        requested = grant_to_self(vm.state, [_TARGET], sequence, sent)
        requester = vm.state.identity
        for name in sorted(vm.roster - {requester.name}):
            if not requested:
                break
            self._post(
                name, partial(self._grant, name, requester, sequence, sent)
            )

    def _grant(
        self, name: str, requester: Identity, sequence: int, sent: float
    ) -> None:
        granted = grant_targets(
            self.vm_by_name[name].state,
            requester,
            [_TARGET],
            sequence,
            self.clock.monotonic(),
        )

        def reply() -> None:
            receiver = self.vm_by_name[requester.name].state
            if receiver.identity == requester:
                record_grants(receiver, name, granted, sent)

        self._post(requester.name, reply)

    def _release(self, vm: _Vm) -> None:
        now, holder = self.clock.monotonic(), vm.state.identity
        if now < self.last_sent.get(holder, -9) + _REQUEST_SECONDS:
            return
        sequence = next(_sequences)
        vm.until = 0
        for name in sorted(vm.roster if release_all(vm.state, now) else ()):
            self._post(name, partial(self._end_grant, name, holder, sequence))

    def _end_grant(self, name: str, holder: Identity, sequence: int) -> None:
        state = self.vm_by_name[name].state
        record_release(state, holder, [_TARGET], sequence)

    def _inject_fault(self, name: str, vm: _Vm) -> None:
        chance = self.random.random()
        if chance < self.faults / 30:
            self.last_sent.pop(vm.state.identity, None)
            self.vm_by_name[name] = self._start(name)
        elif chance < self.faults / 8:
            vm.paused_until = self.clock.monotonic() + 6 * self.random.random()
        elif chance < self.faults / 4:
            others = self.random.sample('bcd', self.random.choice((1, 1, 3)))
            vm.roster = frozenset(('a', name, *others))

    def _run(self, vm: _Vm) -> None:
        now = self.clock.monotonic()
        if now < vm.until:
            self.last_sent[vm.state.identity] = now
            self.holders.add(vm.state.identity)
        due = [action for at, action in vm.inbox if at <= now]
        vm.inbox = [entry for entry in vm.inbox if entry[0] > now]
        self.random.shuffle(due)
        for action in due:
            action()
        awake = {
            name
            for name in vm.roster
            if now >= self.vm_by_name[name].paused_until
        }
        ranked = targets_to_request(vm.state.identity.name, [_TARGET], awake)
        request_share = _REQUEST_SHARE if ranked else self.faults / 50
        if self.random.random() < request_share:
            self._request(vm)
        elif self.random.random() < self.faults / 20:
            self._release(vm)
        drop_expired(vm.state, now)
        until = lease_expiry_by_target(vm.state, vm.roster, 2, now)
        vm.until = until.get(_TARGET, 0)


@seed(1)
@settings(max_examples=40, deadline=None)
@given(strategies.integers(0), strategies.sampled_from((0.02, 0.05, 0.1)))
def test_one_vm_at_a_time(random_seed: int, faults: float) -> None:
    """Guards against two VMs that send to one cold target.

    Messages are lost or late, and VMs pause, restart or see other rosters.
    """
    exchange = _Exchange(Random(random_seed), faults)
    for _ in range(800):
        exchange.step()


@pytest.mark.parametrize(('faults', 'holders'), [(0, 1), (0.05, 5)])
def test_some_vm_gets_the_lease(faults: float, holders: int) -> None:
    """Guards against leases that are exclusive because no VM gets one."""
    exchange = _Exchange(Random(1), faults)
    for _ in range(2000):
        exchange.step()
    assert len(exchange.holders) >= holders
