"""Tests of the pace at which returned targets get their load back."""

from collections import Counter
from dataclasses import replace
from itertools import product

import pytest

from nutmegstep.dispatch import DispatchState
from nutmegstep.dispatch.control_events import TargetAnnounced, TargetsListed
from nutmegstep.dispatch.effects import Decision, SendRequest
from nutmegstep.dispatch.events import SendFailed, SendFailureKind
from nutmegstep.dispatch.selection import choose_target, spend_cold_token
from nutmegstep.discovery import TargetRecord
from tests.dispatch.conftest import LIMITS, Dispatcher, records
from tests.dispatch.fleet import entries_of_vms, start_vm

_HOME = 'orders-north'
_SECONDS_PER_REQUEST = 0.05
_USUAL = 0.1
"""Latency of a warm target, the first median of the route."""


@pytest.fixture
def paced(dispatcher: Dispatcher) -> Dispatcher:
    """Return a dispatcher that paces targets which return."""
    dispatcher.state.replace_limits(replace(LIMITS, paces_returns=True))
    _play(dispatcher, 40)
    return dispatcher


def _play(
    dispatcher: Dispatcher, count: int, slow: float = 1, target: str = _HOME
) -> Counter[str]:
    """Play requests one after the other; return the first sends by target.

    The answers of `target` take `slow` times as long.
    """
    sends: Counter[str] = Counter()
    for _ in range(count):
        dispatcher.effects.clear()
        dispatcher.request('/order/1')
        send = dispatcher.effects_of(SendRequest)[0]
        target_id = send.target.target_id
        sends[target_id] += 1
        factor = slow if target_id == target else 1
        dispatcher.now += _USUAL * factor
        dispatcher.answer([send])
    return sends


def _restart(dispatcher: Dispatcher, cold_seconds: float = 0) -> None:
    cold_until = dispatcher.now + cold_seconds
    record = replace(records()[_HOME], started_ms=2, cold_until=cold_until)
    dispatcher.apply(TargetAnnounced(record))


def _shares(dispatcher: Dispatcher, target: str = _HOME) -> float:
    health = dispatcher.state.health_by_target[target]
    return health.pace.share(dispatcher.now, health.half_life)


def _causes(dispatcher: Dispatcher, name: str) -> list[object]:
    return [
        decision.inputs['cause']
        for decision in dispatcher.effects_of(Decision)
        if decision.name == name
    ]


def test_nothing_is_paced_unless_the_settings_say_so(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a change of deployments that do not ask for it."""
    _play(dispatcher, 40)
    _restart(dispatcher)
    assert not _causes(dispatcher, 'pace_begun')
    assert _shares(dispatcher) == 1
    assert _play(dispatcher, 20)[_HOME] == 20


def test_restarted_target_is_not_flooded(paced: Dispatcher) -> None:
    """Guards against all requests at once to a process that has just started."""
    _restart(paced)
    assert _causes(paced, 'pace_begun') == ['restarted']
    assert _play(paced, 1, slow=8)[_HOME] <= 1
    assert _play(paced, 40, slow=8)[_HOME] <= 12


def test_restart_that_a_listing_shows_is_paced(paced: Dispatcher) -> None:
    """Guards against a restart that is missed because the store was away."""
    record = replace(records()[_HOME], started_ms=2)
    paced.apply(TargetsListed({**records(), _HOME: record}))
    assert _causes(paced, 'pace_begun') == ['restarted']


def test_fast_target_gets_its_load_back_within_seconds(
    paced: Dispatcher,
) -> None:
    """Guards against a restarted target that is left idle."""
    _restart(paced)
    _play(paced, 30)
    assert _play(paced, 20)[_HOME] == 20


def test_cold_target_is_spared_while_its_peers_have_room(
    paced: Dispatcher,
) -> None:
    """Guards against queries that wait for the parts of cold targets."""
    _restart(paced, cold_seconds=3)
    assert _causes(paced, 'pace_begun') == ['cold']
    assert _play(paced, 20)[_HOME] == 0


def test_cold_target_is_not_left_idle_while_its_peers_are_busy(
    paced: Dispatcher,
) -> None:
    """Guards against a cold target that is idle while requests wait.

    It gets no more than the share of this VM in its bound.
    """
    paced.state.vm_count = 2
    _restart(paced, cold_seconds=3)
    paced.effects.clear()
    for _ in range(50):
        paced.now += 0.02
        paced.request('/order/1')
    sends = paced.effects_of(SendRequest)
    used = sum(send.target.target_id == _HOME for send in sends)
    assert 1 <= used <= 5 / 2 + 1


def test_cold_target_as_fast_as_its_peers_is_used(paced: Dispatcher) -> None:
    """Guards against waiting for the end of the cold time without a reason."""
    paced.state.vm_count = 2
    _restart(paced, cold_seconds=10)
    _play(paced, 1)
    health = paced.state.health_by_target[_HOME]
    for _ in range(2):
        paced.now += 2
        _answer_as_fast(paced)
    assert not health.pace.is_active(paced.now, health.half_life)
    assert _play(paced, 30)[_HOME] >= 1


def test_end_of_the_cold_time_is_no_flood(paced: Dispatcher) -> None:
    """Guards against all requests at the moment at which a target is warm."""
    _restart(paced, cold_seconds=3)
    warm_at = paced.now + 3
    _play(paced, 10, slow=8)
    paced.now = warm_at
    assert _shares(paced) <= 0.25
    assert _play(paced, 10, slow=8)[_HOME] <= 4


def test_target_that_replies_after_failures_is_paced(
    paced: Dispatcher,
) -> None:
    """Guards against a failure rate that keeps a healthy target idle."""
    for _ in range(2):
        paced.effects.clear()
        paced.now += 30
        paced.request('/order/1')
        send = paced.effects_of(SendRequest)[0]
        assert send.target.target_id == _HOME
        paced.apply(SendFailed(send.send_id, SendFailureKind.CONNECT))
    paced.now += 30
    _play(paced, 1)
    assert _causes(paced, 'pace_begun') == ['regained']
    _play(paced, 20)
    assert _play(paced, 20)[_HOME] == 20


def test_lost_packet_does_not_hold_a_target_back(paced: Dispatcher) -> None:
    """Guards against pacing healthy targets where 0.15% of packets are lost."""
    paced.effects.clear()
    paced.request('/order/1')
    send = paced.effects_of(SendRequest)[0]
    paced.apply(SendFailed(send.send_id, SendFailureKind.TIMEOUT))
    paced.now += 1
    _play(paced, 1, slow=3)
    assert _shares(paced) == 1


def test_target_that_is_fast_again_is_not_left_idle(paced: Dispatcher) -> None:
    """Guards against a recovery that waits for the estimates to decay."""
    _play(paced, 60, slow=8)
    paced.now += 30
    for _ in range(6):
        _play(paced, 1, slow=8)
    state = paced.state
    health = state.health_by_target[_HOME]
    for _ in range(8):
        health.record_reply(8, paced.now)
    assert health.slowness(paced.now) > 3
    state.health_by_target['orders-south'].record_reply(1, paced.now)
    _answer_as_fast(paced)
    assert _causes(paced, 'pace_begun')[-1:] == ['fast_again']
    _play(paced, 20)
    assert _play(paced, 20)[_HOME] == 20


def _answer_as_fast(dispatcher: Dispatcher) -> None:
    """Let the target answer a request that its peers cannot take."""
    for name in ('orders-south', 'orders-west'):
        health = dispatcher.state.health_by_target[name]
        health.blocked_until = dispatcher.now + _USUAL / 2
    _play(dispatcher, 1)


def test_targets_that_all_return_are_used_like_warm_ones(
    paced: Dispatcher,
) -> None:
    """Guards against traffic between failure domains after a power cut."""
    for record in records().values():
        restarted = replace(record, started_ms=2)
        paced.apply(TargetAnnounced(restarted))
    assert _play(paced, 10)[_HOME] == 10


def _cold_target(now: float) -> dict[str, TargetRecord]:
    return {
        name: replace(
            record, cold_until=now + 3 if name == 'shard-0-north' else 0
        )
        for name, record in records().items()
    }


def _choose_cold(state: DispatchState, now: float) -> bool:
    """Return whether a request without another target goes to the cold one."""
    others = ('shard-0-south', 'shard-0-west')
    choice = choose_target(state, 'shard-0', now, others)
    if choice is None:
        return False
    spend_cold_token(state, choice.target, now)
    return True


@pytest.mark.parametrize('vms', [7, 65])
def test_paced_cold_target_of_a_fleet_stays_within_its_bound(vms: int) -> None:
    """Guards against a cold target that crashes under the sum of all shares."""
    entries = entries_of_vms(vms)
    targets = _cold_target(100)
    fleet = [start_vm(name, entries, targets, 100) for name in entries]
    for vm in fleet:
        vm.replace_limits(replace(LIMITS, paces_returns=True))
    steps = [100 + step * _SECONDS_PER_REQUEST for step in range(60)]
    sent = [
        now for now, state in product(steps, fleet) if _choose_cold(state, now)
    ]
    busiest = max(sum(0 <= now - one < 1 for one in sent) for now in sent)
    assert 1 <= busiest <= LIMITS.cold.slack
