"""A request that crashes the targets that run it, over all VMs of a fleet.

Callers send it again and again to any VM. A crashed target refuses connections
until its announcement ends, and is replaced by another one.
"""

from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Final

import pytest

from nutmegstep.coordinators import DelegationTerms
from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.control_events import (
    CrashDeleted,
    CrashesListed,
    CrashRecord,
    CrashStored,
    HousekeepingDue,
    TargetAnnounced,
    TargetChecked,
    TargetRemoved,
)
from nutmegstep.dispatch.effects import (
    CheckTarget,
    DeleteCrash,
    Effect,
    PublishCrash,
    SendRequest,
)
from nutmegstep.dispatch.events import (
    Event,
    RequestArrived,
    RoutedRequest,
    SendFailed,
    SendFailureKind,
)
from tests.dispatch.conftest import HOST, records
from tests.dispatch.fleet import Timeline, entries_of_vms, start_vm

_ADAPT_SECONDS: Final = 4.0
"""Time after the third crash from which further sends count."""
_CRASHES: Final = 3
_TOLERATED_RETRIES: Final = 3
_RUN_SECONDS: Final = 0.05
_LEASE_SECONDS: Final = 3.0
"""Time after a crash at which the announcement of a target ends."""
_REPLACE_SECONDS: Final = 4.0
_HOUSEKEEPING_SECONDS: Final = 0.5
_STORE_SECONDS: Final = 1.0
"""Time from the write of a record until all VMs have read it."""

_START = 100.0


@dataclass
class _Fleet:
    """VMs with the real reducer, and targets that a request crashes."""

    vms: int
    path: str
    random: Random = field(default_factory=lambda: Random(1))
    sent: list[tuple[float, int, int]] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._ids = count(1)
        self.timeline = Timeline(_START)
        self._sends_by_target: dict[str, list[tuple[int, int]]] = {}
        self._target_by_id = dict(records())
        self._crashed: set[str] = set()
        self._stored: set[CrashRecord] = set()
        self._entries = entries_of_vms(self.vms)
        self.states = [self._build(name) for name in self._entries]
        self.timeline.later(_HOUSEKEEPING_SECONDS, self._keep_house)

    def run(self, seconds: float, per_second: float) -> None:
        """Let callers send the request at a mean rate."""
        ends = self.timeline.now + seconds
        arrival = self.timeline.now
        while arrival < ends:
            arrival += self.random.expovariate(per_second)
            self.timeline.run_until(arrival)
            self._request(self.random.randrange(self.vms))
        self.timeline.run_until(ends + _HOUSEKEEPING_SECONDS)

    def restart(self, vm: int) -> None:
        """Replace the state of a VM with that of a new process."""
        self.states[vm] = self._build(tuple(self._entries)[vm])

    def counted_retries(self) -> int:
        """Return the number of retries later than the bound allows.

        On a route to a single target each send counts, on one to many shards
        each attempt, whose sends to the shards are one retry.
        """
        if len(self.crashed_at) < _CRASHES:
            return 0
        begins = sorted(self.crashed_at)[_CRASHES - 1] + _ADAPT_SECONDS
        late = [one for one in self.sent if one[0] > begins]
        if self.path.startswith('/sweep/'):
            return len({request_id for _, request_id, _ in late})
        return len(late)

    def _build(self, name: str) -> DispatchState:
        state = start_vm(
            name, self._entries, dict(self._target_by_id), self.timeline.now
        )
        listed = CrashesListed(frozenset(self._stored))
        reduce_event(state, listed, self.timeline.now)
        return state

    def _keep_house(self) -> None:
        self._apply_to_all(HousekeepingDue())
        self.timeline.later(_HOUSEKEEPING_SECONDS, self._keep_house)

    def _request(self, vm: int) -> None:
        request = RoutedRequest(
            next(self._ids),
            f'attempt-{self.timeline.now}',
            b'POST',
            self.path.encode(),
            HOST,
            self.path,
            (),
            b'body',
            2.0,
            self.timeline.now,
            # Served by this VM, whether or not it is a coordinator.
            delegated=DelegationTerms(1, 1),
        )
        self._apply(vm, RequestArrived(request))

    def _apply_to_all(self, event: Event) -> None:
        for vm in range(self.vms):
            self._apply(vm, event)

    def _apply(self, vm: int, event: Event) -> None:
        for effect in reduce_event(self.states[vm], event, self.timeline.now):
            self._perform(vm, effect)

    def _perform(self, vm: int, effect: Effect) -> None:
        if isinstance(effect, SendRequest):
            self._send(vm, effect)
        elif isinstance(effect, CheckTarget):
            target_id = effect.target.target_id
            is_listening = target_id not in self._crashed
            checked = TargetChecked(target_id, is_listening)
            self.timeline.later(0.001, lambda: self._apply(vm, checked))
        elif isinstance(effect, PublishCrash):
            self._stored.add(effect.record)
            stored = CrashStored(effect.record)
            self.timeline.later(
                _STORE_SECONDS, lambda: self._apply_to_all(stored)
            )
        elif isinstance(effect, DeleteCrash):
            self._stored.discard(effect.record)
            deleted = CrashDeleted(effect.record)
            self.timeline.later(
                _STORE_SECONDS, lambda: self._apply_to_all(deleted)
            )

    def _send(self, vm: int, effect: SendRequest) -> None:
        target_id = effect.target.target_id
        if target_id in self._crashed:
            refused = SendFailed(effect.send_id, SendFailureKind.CONNECT)
            self.timeline.later(0.001, lambda: self._apply(vm, refused))
            return
        sent = (self.timeline.now, effect.request.request_id, effect.send_id)
        self.sent.append(sent)
        sends = self._sends_by_target.setdefault(target_id, [])
        if not sends:
            self.timeline.later(_RUN_SECONDS, lambda: self._crash(target_id))
        sends.append((vm, effect.send_id))

    def _crash(self, target_id: str) -> None:
        self.crashed_at.append(self.timeline.now)
        self._crashed.add(target_id)
        self.timeline.later(_LEASE_SECONDS, lambda: self._end_lease(target_id))
        self.timeline.later(_REPLACE_SECONDS, lambda: self._replace(target_id))
        for vm, send_id in self._sends_by_target.pop(target_id):
            self._apply(vm, SendFailed(send_id, SendFailureKind.NO_RESPONSE))

    def _end_lease(self, target_id: str) -> None:
        self._apply_to_all(TargetRemoved(target_id))

    def _replace(self, target_id: str) -> None:
        ended = self._target_by_id.pop(target_id)
        name = f'{ended.service}-{next(self._ids)}'
        started = replace(ended, target_id=name, started_ms=next(self._ids))
        self._target_by_id[name] = started
        self._apply_to_all(TargetAnnounced(started))


@pytest.mark.parametrize('restarts', [False, True])
@pytest.mark.parametrize('per_second', [0.5, 3, 20])
@pytest.mark.parametrize('path', ['/fetch/x', '/order/x', '/sweep/x'])
@pytest.mark.parametrize('vms', [1, 7, 65, 195])
def test_crashing_request_is_not_sent_on(
    vms: int, path: str, per_second: float, restarts: bool
) -> None:
    """Guards against a request that crashes one target after the other, as its
    attempts reach VMs that do not know of the crashes before.
    """
    fleet = _Fleet(vms, path)
    for round_number in range(12):
        fleet.run(5, per_second)
        if restarts:
            fleet.restart(round_number % vms)
    assert len(fleet.crashed_at) >= _CRASHES
    assert fleet.counted_retries() <= _TOLERATED_RETRIES
