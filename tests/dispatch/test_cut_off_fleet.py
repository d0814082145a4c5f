"""VMs of a fleet that lose all links to the targets.

The load: callers go on using these VMs, which still reach the store and the
other VMs. Links hang, are reset or are refused.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

import pytest

from nutmegstep.coordinators import DelegationTerms
from nutmegstep.dispatch import reduce_event
from nutmegstep.dispatch.control_events import HousekeepingDue, TargetChecked
from nutmegstep.dispatch.effects import (
    CancelDelegation,
    CancelSend,
    CheckTarget,
    DeclineDelegation,
    Delegate,
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    SendRequest,
    WakeAt,
)
from nutmegstep.dispatch.events import (
    CallerLeft,
    DelegationAccepted,
    DelegationAnswered,
    DelegationFailed,
    Event,
    RequestArrived,
    RequestDue,
    RoutedRequest,
    SendFailed,
    SendFailureKind,
    TargetReplied,
)
from tests.dispatch.conftest import HOST, records, reply
from tests.dispatch.fleet import Timeline, entries_of_vms, start_vm

_ADAPT_SECONDS = 4.0
"""Time after the cut in which a VM has to find out."""
_TOLERATED_FAILURES = 10
_TOLERATED_SHARE = 1 / 50
_SERVED_SHARE = 2 / 3
"""Smallest share of first tries served at cut VMs, relative to the others."""
_HOP_SECONDS = 0.0015
_RUN_SECONDS = 0.02
_CONNECT_TIMEOUT_SECONDS = 0.25
_HOUSEKEEPING_SECONDS = 0.5
_FAILURE_BY_CUT = {
    'hang': (_CONNECT_TIMEOUT_SECONDS, SendFailureKind.CONNECT),
    'refuse': (_HOP_SECONDS, SendFailureKind.CONNECT),
    'reset': (_HOP_SECONDS, SendFailureKind.NO_RESPONSE),
    'kept': (_HOP_SECONDS, SendFailureKind.CONNECT),
}
"""Time until a send fails, and how. In the last case kept connections live on,
and requests that must not run twice need new ones."""

_START = 100.0


@dataclass
class _Fleet:
    """VMs with the real reducer, some of which lose their links."""

    vms: int
    cut: str
    random: Random = field(default_factory=lambda: Random(1))
    outcomes: list[tuple[float, int, bool]] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.cut_vms: frozenset[int] = frozenset()
        self._ids = count(1)
        self.timeline = Timeline(_START)
        self._cancelled: set[tuple[int, int]] = set()
        self._passed_on: dict[tuple[int, int], tuple[int, int, int]] = {}
        self.entries = entries_of_vms(self.vms)
        targets = records()
        self.states = [
            start_vm(name, self.entries, targets, self.timeline.now)
            for name in self.entries
        ]
        self._vm_by_address = {
            one.address: vm for vm, one in enumerate(self.entries.values())
        }
        self._keep_house()

    def run(self, seconds: float, per_second: float, path: str) -> None:
        """Let callers send first tries at a mean rate to all VMs."""
        ends = self.timeline.now + seconds
        arrival = self.timeline.now
        while arrival < ends:
            arrival += self.random.expovariate(per_second)
            self.timeline.run_until(arrival)
            self._request(self.random.randrange(self.vms), path)

    def served(self, since: float, *, is_cut: bool) -> tuple[int, int]:
        """Return how many first tries were served, and how many ended."""
        ended = [
            is_served
            for at, vm, is_served in self.outcomes
            if at >= since and (vm in self.cut_vms) == is_cut
        ]
        return sum(ended), len(ended)

    def _request(self, vm: int, path: str) -> None:
        request_id = next(self._ids)
        self._arrive(vm, request_id, f'a-{request_id}', path, None)

    def _arrive(
        self,
        vm: int,
        request_id: int,
        attempt_id: str,
        path: str,
        terms: DelegationTerms | None,
    ) -> None:
        request = RoutedRequest(
            request_id,
            attempt_id,
            b'GET',
            path.encode(),
            HOST,
            path,
            (),
            b'',
            2.0,
            self.timeline.now,
            delegated=terms,
        )
        self._apply(vm, RequestArrived(request))

    def _apply_later(self, seconds: float, vm: int, event: Event) -> None:
        self.timeline.later(seconds, lambda: self._apply(vm, event))

    def _keep_house(self) -> None:
        for vm in range(self.vms):
            self._apply(vm, HousekeepingDue())
        self.timeline.later(_HOUSEKEEPING_SECONDS, self._keep_house)

    def _apply(self, vm: int, event: Event) -> None:
        for effect in reduce_event(self.states[vm], event, self.timeline.now):
            perform = self._perform_by_effect().get(type(effect))
            if perform is not None:
                perform(vm, effect)

    def _perform_by_effect(
        self,
    ) -> dict[type, Callable[..., None]]:
        return {
            SendRequest: self._send,
            CancelSend: self._cancel,
            CheckTarget: self._check,
            WakeAt: self._wake,
            Delegate: self._delegate,
            CancelDelegation: self._cancel_delegation,
            DeclineDelegation: self._decline,
            DeliverMerged: partial(self._deliver, is_served=True),
            DeliverReply: self._deliver_reply,
            DeliverRefusal: partial(self._deliver, is_served=False),
        }

    def _send(self, vm: int, effect: SendRequest) -> None:
        seconds, kind = _RUN_SECONDS, None
        is_kept = self.cut == 'kept' and effect.is_repeatable
        if vm in self.cut_vms and not is_kept:
            seconds, kind = _FAILURE_BY_CUT[self.cut]
        else:
            run = f'{effect.request.attempt_id} {effect.target.service}'
            self.runs[run] += 1
        self.timeline.later(seconds, lambda: self._end_send(vm, effect, kind))

    def _end_send(
        self, vm: int, effect: SendRequest, kind: SendFailureKind | None
    ) -> None:
        if (vm, effect.send_id) in self._cancelled:
            kind = SendFailureKind.CANCELLED
        if kind is None:
            self._apply(vm, TargetReplied(effect.send_id, reply(b'r' * 16)))
        else:
            self._apply(vm, SendFailed(effect.send_id, kind))

    def _cancel(self, vm: int, effect: CancelSend) -> None:
        self._cancelled.add((vm, effect.send_id))

    def _check(self, vm: int, effect: CheckTarget) -> None:
        is_cut = vm in self.cut_vms
        if not (is_cut and self.cut == 'hang'):
            checked = TargetChecked(effect.target.target_id, not is_cut)
            self._apply_later(_HOP_SECONDS, vm, checked)

    def _wake(self, vm: int, effect: WakeAt) -> None:
        seconds = max(0, effect.instant - self.timeline.now)
        self._apply_later(seconds, vm, RequestDue(effect.request_id))

    def _delegate(self, vm: int, effect: Delegate) -> None:
        other = self._vm_by_address[effect.address]
        request = effect.request
        request_id = next(self._ids)
        ids = (request.request_id, effect.delegation_id)
        self._passed_on[other, request_id] = (vm, *ids)
        accepted = DelegationAccepted(*ids)
        self._apply_later(2 * _HOP_SECONDS, vm, accepted)
        self.timeline.later(
            _HOP_SECONDS,
            lambda: self._arrive(
                other,
                request_id,
                request.attempt_id,
                request.path,
                effect.terms,
            ),
        )

    def _cancel_delegation(self, vm: int, effect: CancelDelegation) -> None:
        for (other, request_id), origin in tuple(self._passed_on.items()):
            if (origin[0], origin[-1]) == (vm, effect.delegation_id):
                self._passed_on.pop((other, request_id))
                self._apply(other, CallerLeft(request_id))

    def _decline(self, vm: int, effect: DeclineDelegation) -> None:
        origin, *ids = self._passed_on.pop((vm, effect.request_id))
        failed = DelegationFailed(*ids, effect.reason, may_have_run=False)
        self._apply_later(_HOP_SECONDS, origin, failed)

    def _deliver_reply(self, vm: int, effect: DeliverReply) -> None:
        is_served = effect.reply.status == 200
        self._deliver(vm, effect, is_served=is_served)

    def _deliver(
        self,
        vm: int,
        effect: DeliverMerged | DeliverReply | DeliverRefusal,
        *,
        is_served: bool,
    ) -> None:
        origin = self._passed_on.pop((vm, effect.request_id), None)
        if origin is None:
            self.outcomes.append((self.timeline.now, vm, is_served))
            return
        answer = reply() if is_served else reply(status=503, signature='')
        answered = DelegationAnswered(*origin[1:], answer)
        self._apply_later(_HOP_SECONDS, origin[0], answered)


def _choose(fleet: _Fleet, who: str) -> frozenset[int]:
    """Return the VMs that lose their links."""
    if who == 'most':
        everyone = range(fleet.vms)
        return frozenset(fleet.random.sample(everyone, int(fleet.vms * 0.6)))
    if who == 'domain':
        return frozenset(range(0, fleet.vms, 3))
    return frozenset(
        vm
        for vm, state in enumerate(fleet.states)
        if state.coordinators.is_coordinator and state.own_domain == 'north'
    )


@pytest.mark.parametrize('path', ['/sweep/x', '/fetch/x', '/order/x'])
@pytest.mark.parametrize('cut', ['hang', 'refuse', 'reset', 'kept'])
@pytest.mark.parametrize(
    ('vms', 'who'),
    [
        (3, 'domain'),
        (7, 'most'),
        (7, 'domain'),
        (65, 'most'),
        (65, 'domain'),
        (65, 'coordinators'),
        (195, 'most'),
    ],
)
def test_callers_of_vms_without_links_are_served(
    vms: int, who: str, cut: str, path: str
) -> None:
    """Guards against VMs that fail the requests of their callers, or of other
    VMs, while they reach no target but other VMs do.
    """
    fleet = _Fleet(vms, cut)
    per_second = 20 + vms
    fleet.run(2, per_second, path)
    fleet.cut_vms = _choose(fleet, who)
    since = fleet.timeline.now + _ADAPT_SECONDS
    fleet.run(10, per_second, path)
    served, ended = fleet.served(since, is_cut=True)
    elsewhere, elsewhere_ended = fleet.served(since, is_cut=False)
    failed = ended - served
    assert elsewhere >= elsewhere_ended * (1 - _TOLERATED_SHARE)
    assert (
        served * elsewhere_ended >= _SERVED_SHARE * elsewhere * ended
        or failed <= _TOLERATED_FAILURES + _TOLERATED_SHARE * ended
    )
    if path == '/order/x':
        assert max(fleet.runs.values()) == 1
    fleet.cut_vms = frozenset()
    fleet.run(2, per_second, path)
    assert not any(state.has_lost_targets for state in fleet.states)
