"""Limits that targets state, kept by all VMs of a fleet together.

The load: each VM sends a multiple of what it may, steadily or all at once after
a quiet time. No VM knows what the others send.
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Final

import pytest

from nutmegstep.coordinators import DelegationTerms
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch import DispatchState, reduce_event
from nutmegstep.dispatch.control_events import TargetRemoved, TargetsListed
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import (
    Event,
    RequestArrived,
    RoutedRequest,
    TargetReplied,
)
from tests.dispatch.conftest import HOST, records, reply
from tests.dispatch.fleet import entries_of_vms, start_vm

_SERVICE: Final = 'orders'
_ADAPT_SECONDS: Final = 4.0
"""Time after the first statement of a limit from which it must be kept."""
_WINDOW_SECONDS: Final = 4.0
_TOLERATED_FACTOR: Final = 1.5
_TOLERATED_REQUESTS: Final = 5
_TOLD_SECONDS: Final = 0.5
"""Time after its first reply with a limit from which a VM is counted."""
_REPLY_SECONDS: Final = 0.02
_FALLBACK_SHARE: Final = 0.05
"""Share of the requests that are served without a coordinator."""


@dataclass
class _Fleet:
    """VMs with the real reducer, and targets that state a limit."""

    vms: int
    limit: float
    random: Random = field(default_factory=lambda: Random(1))
    now: float = 100
    states: list[DispatchState] = field(default_factory=list)
    arrivals_by_target: dict[str, list[tuple[float, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    told_at: dict[tuple[str, int], float] = field(default_factory=dict)
    stated: float | None = None

    def __post_init__(self) -> None:
        self.stated = self.limit
        self._ids = count(1)
        self._replies: list[tuple[float, int, int, str]] = []
        entries = entries_of_vms(self.vms)
        self.states = [
            start_vm(name, entries, records(), self.now) for name in entries
        ]
        coordinators = [
            number
            for number, state in enumerate(self.states)
            if state.coordinators.is_coordinator
        ]
        self._servers = coordinators or list(range(self.vms))

    def run(self, seconds: float, per_second: float) -> int:
        """Let callers send at a mean rate; return the number of requests."""
        ends = self.now + seconds
        sent = 0
        while self.now < ends:
            self.now += self.random.expovariate(per_second)
            self._reply_until(self.now)
            self._request(self._choose_vm())
            sent += 1
        return sent

    def apply_to_all(self, event: Event) -> None:
        """Apply an event to all VMs."""
        for number in range(self.vms):
            self._apply(number, event)

    def most_in_window(self, target_id: str) -> int:
        """Return the most requests that count within a window."""
        told = [
            at for (name, _), at in self.told_at.items() if name == target_id
        ]
        begins = min(told) + _ADAPT_SECONDS
        counted = sorted(
            at
            for at, vm in self.arrivals_by_target[target_id]
            if at >= begins
            and at
            >= self.told_at.get((target_id, vm), math.inf) + _TOLD_SECONDS
        )
        return max(
            (
                sum(start <= at < start + _WINDOW_SECONDS for at in counted)
                for start in counted
            ),
            default=0,
        )

    def targets(self) -> Iterable[TargetRecord]:
        """Return the targets of the service."""
        return self.states[0].registry.of_service(_SERVICE)

    def _choose_vm(self) -> int:
        if self.random.random() < _FALLBACK_SHARE:
            return self.random.randrange(self.vms)
        return self.random.choice(self._servers)

    def _request(self, vm: int) -> None:
        request = RoutedRequest(
            next(self._ids),
            'caller-1',
            b'GET',
            b'/fetch/x',
            HOST,
            '/fetch/x',
            (),
            b'',
            2.0,
            self.now,
            # Served by this VM, whether or not it is a coordinator.
            delegated=DelegationTerms(1, 1),
        )
        self._apply(vm, RequestArrived(request))

    def _apply(self, vm: int, event: Event) -> None:
        for effect in reduce_event(self.states[vm], event, self.now):
            if isinstance(effect, SendRequest):
                target_id = effect.target.target_id
                self.arrivals_by_target[target_id].append((self.now, vm))
                heapq.heappush(
                    self._replies,
                    (self.now + _REPLY_SECONDS, vm, effect.send_id, target_id),
                )

    def _reply_until(self, instant: float) -> None:
        while self._replies and self._replies[0][0] <= instant:
            at, vm, send_id, target_id = heapq.heappop(self._replies)
            answer = replace(reply(), request_limit=self.stated)
            event = TargetReplied(send_id, answer)
            reduce_event(self.states[vm], event, at)
            if self.stated is not None:
                self.told_at.setdefault((target_id, vm), at)


def _allowed(limit: float) -> float:
    return _TOLERATED_FACTOR * limit * _WINDOW_SECONDS + _TOLERATED_REQUESTS


def _steady(fleet: _Fleet) -> None:
    fleet.run(20, fleet.limit * 9 + 3)


def _burst_after_quiet(fleet: _Fleet) -> None:
    fleet.run(20, fleet.limit * 9 + 3)
    fleet.now += 60
    fleet.run(1, fleet.vms * 20)


def _announcements_lapse(fleet: _Fleet) -> None:
    fleet.run(20, fleet.limit * 9 + 3)
    for target in tuple(fleet.targets()):
        fleet.apply_to_all(TargetRemoved(target.target_id))
    fleet.now += 1
    fleet.apply_to_all(TargetsListed(records()))
    fleet.run(1, fleet.vms * 20)


@pytest.mark.parametrize(
    'load', [_steady, _burst_after_quiet, _announcements_lapse]
)
@pytest.mark.parametrize('limit', [0, 0.5, 5, 17.8])
@pytest.mark.parametrize('vms', [7, 20, 65, 195])
def test_fleet_keeps_to_the_limit_of_a_target(
    vms: int, limit: float, load: Callable[[_Fleet], None]
) -> None:
    """Guards against a target that states a limit and gets far more requests,
    because VMs ignore the limit, or each of them uses all of it.
    """
    fleet = _Fleet(vms, limit)
    load(fleet)
    most = [fleet.most_in_window(one.target_id) for one in fleet.targets()]
    assert max(most) <= _allowed(limit)
