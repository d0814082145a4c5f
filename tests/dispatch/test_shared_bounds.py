"""Bounds that all VMs of a fleet share without exchanging messages.

The load: after requests and a quiet time every VM has saved what it may. Then
all of them hedge at once, as they do when the targets of many shards turn slow.
"""

from datetime import timedelta
from itertools import chain
from random import Random

import pytest

from nutmegstep.coordinators import choose_coordinators
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch import ColdLimits, DispatchLimits, DispatchState
from nutmegstep.dispatch.budget import BudgetLimits
from nutmegstep.dispatch.control_events import VmsCounted
from nutmegstep.dispatch.core import reduce_event
from nutmegstep.dispatch.selection import is_usable, spend_cold_token
from nutmegstep.store_watch.vm_registry import VmEntry

_BUSY_SECONDS = 30
_QUIET_SECONDS = 100
_WINDOW_SECONDS = 10
_DOMAINS = ('north', 'south', 'west')
_FAST_VMS = 6
_COLD_SLACK = 5
_COLD_SECONDS = 3
_STEP_SECONDS = 0.05


def _fleet(vms: int, slack: float, fast: int) -> list[DispatchState]:
    entries = {
        f'vm-{number:03}': VmEntry(
            _DOMAINS[number % len(_DOMAINS)],
            f'10.0.0.{number}:7740',
            1,
            2.15 if number < fast else 0.5,
        )
        for number in range(vms)
    }
    limits = DispatchLimits(
        BudgetLimits(0.2, slack, timedelta(seconds=_WINDOW_SECONDS)),
        ColdLimits(1.5, _COLD_SLACK),
    )
    return [_vm(name, entries, limits) for name in entries]


def _vm(
    name: str, entries: dict[str, VmEntry], limits: DispatchLimits
) -> DispatchState:
    domain = entries[name].failure_domain
    state = DispatchState(domain, limits, Random(1))
    in_domain = sum(one.failure_domain == domain for one in entries.values())
    choice = choose_coordinators(name, entries)
    reduce_event(state, VmsCounted(len(entries), in_domain, choice), 0)
    return state


def _spend_all(state: DispatchState, service: str) -> int:
    """Return the extra sends of one VM within a window."""
    for second in range(_BUSY_SECONDS):
        state.budget_of(service).earn(second, state.bound_divisor)
    spent = 0
    for second in range(_WINDOW_SECONDS):
        now = _QUIET_SECONDS + second
        while state.budget_of(service).spend(now, state.bound_divisor):
            spent += 1
    return spent


@pytest.mark.parametrize('fast', [0, _FAST_VMS])
@pytest.mark.parametrize('slack', [54, 170, 430])
@pytest.mark.parametrize('vms', [7, 65, 195, 1000])
def test_hedges_of_a_fleet_stay_within_the_slack(
    vms: int, slack: float, fast: int
) -> None:
    """Guards against a floor of one token for each VM, which adds up to more
    than the slack in a large fleet.
    """
    fleet = _fleet(vms, slack, fast)
    for service in ('shard-1', 'shard-2'):
        spent = sum(_spend_all(state, service) for state in fleet)
        assert slack / 3 <= spent <= slack


def test_other_vms_save_the_tokens_of_another_service() -> None:
    """The few tokens of a large fleet are not all with the same VMs."""
    fleet = _fleet(195, 54, 0)
    savers_by_service = {
        service: {
            number
            for number, state in enumerate(fleet)
            if _spend_all(state, service)
        }
        for service in ('shard-1', 'shard-2', 'shard-3')
    }
    assert len(set.union(*savers_by_service.values())) > len(
        savers_by_service['shard-1']
    )


def _send_to_cold_target(
    state: DispatchState, target: TargetRecord
) -> list[float]:
    """Return when a VM sends to a cold target as soon as it may."""
    steps = [
        _QUIET_SECONDS + step * _STEP_SECONDS
        for step in range(int(_COLD_SECONDS / _STEP_SECONDS))
    ]
    sent = []
    for now in steps:
        if is_usable(state, target, now):
            spend_cold_token(state, target, now)
            sent.append(now)
    return sent


@pytest.mark.parametrize('fast', [0, _FAST_VMS])
@pytest.mark.parametrize('vms', [7, 65, 195])
def test_cold_target_of_a_fleet_stays_within_its_bound(
    vms: int, fast: int
) -> None:
    """Guards against a target that has just started, is announced as cold to
    all VMs at once, and gets a first request from each of them.
    """
    target = TargetRecord(
        'i-1',
        'shard-1',
        '10.0.0.1',
        80,
        'north',
        3,
        is_draining=False,
        cold_until=_QUIET_SECONDS + _COLD_SECONDS,
        started_ms=1,
    )
    sent = sorted(
        chain.from_iterable(
            _send_to_cold_target(state, target)
            for state in _fleet(vms, 170, fast)
        )
    )
    assert sent
    assert all(
        sum(start <= one < start + 1 for one in sent) <= _COLD_SLACK
        for start in sent
    )
