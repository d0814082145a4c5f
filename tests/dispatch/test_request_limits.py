"""Targets that state in their replies how many requests they accept."""

from dataclasses import replace

import pytest

from nutmegstep.coordinators import CoordinatorChoice
from nutmegstep.dispatch.control_events import (
    HousekeepingDue,
    TargetRemoved,
    VmsCounted,
)
from nutmegstep.dispatch.effects import Decision, DeliverRefusal, SendRequest
from nutmegstep.dispatch.events import (
    DelegationAnswered,
    TargetReplied,
    TargetReply,
)
from nutmegstep.verdict import Reason, Verdict
from tests.dispatch.conftest import Dispatcher, reply

_LIMITED = reply(request_limit=float(5))
_MISDIRECTED = reply(
    status=421, signature='', was_executed=False, is_misdirected=True
)


@pytest.fixture
def only_vm(dispatcher: Dispatcher) -> Dispatcher:
    """Return the dispatcher of the only VM, which may use whole limits."""
    dispatcher.apply(VmsCounted(1, 1))
    return dispatcher


def _fetch(dispatcher: Dispatcher, answer: TargetReply) -> SendRequest:
    dispatcher.request('/fetch/x')
    send = dispatcher.effects_of(SendRequest)[-1]
    dispatcher.apply(TargetReplied(send.send_id, answer))
    return send


def _limit_decisions(dispatcher: Dispatcher) -> list[Decision]:
    return [
        one
        for one in dispatcher.effects_of(Decision)
        if one.name.startswith('request_limit')
    ]


def test_limits_are_learned_through_coordinators(
    dispatcher: Dispatcher,
) -> None:
    """Guards against VMs that exceed a limit, or keep to one that has ended, as
    soon as they send requests without a coordinator.
    """
    choice = CoordinatorChoice(('10.0.0.7:7740',), in_domain=1, total=3)
    dispatcher.apply(VmsCounted(65, 22, choice))
    for answer in (_LIMITED, reply()):
        request = dispatcher.request('/fetch/x')
        answered = DelegationAnswered(
            *dispatcher.ids_of(request), answer, 'orders-north'
        )
        dispatcher.apply(answered)
    assert [one.name for one in _limit_decisions(dispatcher)] == [
        'request_limit_stated',
        'request_limit_ended',
    ]


def test_begin_and_end_of_a_limit_are_logged(only_vm: Dispatcher) -> None:
    """The log shows from when a target was limited and what this VM sent."""
    send = _fetch(only_vm, _LIMITED)
    only_vm.now += 0.5
    _fetch(only_vm, _LIMITED)
    _fetch(only_vm, reply())
    stated, ended = _limit_decisions(only_vm)
    assert stated.name == 'request_limit_stated'
    assert stated.inputs == {'target': send.target.target_id, 'per_second': 5}
    assert ended.name == 'request_limit_ended'
    assert ended.inputs['after_ms'] == 500
    assert ended.inputs['sends'] == 2


def test_changed_limit_is_logged_again(only_vm: Dispatcher) -> None:
    """Small changes are not, as each reply may state another number."""
    for limit in (5, 5.1, 9):
        _fetch(only_vm, replace(_LIMITED, request_limit=limit))
        only_vm.now += 0.5
    assert [one.inputs['per_second'] for one in _limit_decisions(only_vm)] == [
        5,
        9,
    ]


def test_reply_of_another_target_does_not_end_a_limit(
    only_vm: Dispatcher,
) -> None:
    """Guards against a reused address, whose new owner answers 421."""
    _fetch(only_vm, _LIMITED)
    only_vm.now += 0.5
    _fetch(only_vm, _MISDIRECTED)
    assert len(_limit_decisions(only_vm)) == 1


def test_limit_spreads_requests_over_other_targets(
    only_vm: Dispatcher,
) -> None:
    """Requests that a limited target does not accept go to another one."""
    limited = _fetch(only_vm, replace(_LIMITED, request_limit=1)).target
    for _ in range(10):
        only_vm.request('/fetch/x')
    targets = [one.target for one in only_vm.effects_of(SendRequest)[1:]]
    assert len(targets) == 10
    assert sum(one.target_id == limited.target_id for one in targets) <= 1


def test_query_that_no_target_accepts_is_refused_at_once(
    only_vm: Dispatcher,
) -> None:
    """The caller is told to return when this VM may send again, not after a
    third of its deadline.
    """
    for _ in range(12):
        only_vm.request('/fetch/x')
        send = only_vm.effects_of(SendRequest)[-1]
        only_vm.apply(TargetReplied(send.send_id, _LIMITED))
        if only_vm.effects_of(DeliverRefusal):
            break
    refusal = only_vm.effects_of(DeliverRefusal)[0].refusal
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is Reason.OVERLOADED
    assert 0 < refusal.retry_after.total_seconds() < 0.25
    only_vm.now += refusal.retry_after.total_seconds()
    sends = len(only_vm.effects_of(SendRequest))
    only_vm.request('/fetch/x')
    assert len(only_vm.effects_of(SendRequest)) == sends + 1


def test_restarted_target_starts_without_a_limit(only_vm: Dispatcher) -> None:
    """A new incarnation knows nothing of what the former one stated."""
    limits = only_vm.state.request_limits
    limited = _fetch(only_vm, replace(_LIMITED, request_limit=0)).target
    limits.record_send(limited)
    assert not limits.may_send(limited, only_vm.now)
    restarted = replace(limited, started_ms=limited.started_ms + 1)
    assert limits.may_send(restarted, only_vm.now)


def test_limit_of_a_departed_target_is_forgotten(only_vm: Dispatcher) -> None:
    """Guards against memory that grows with each target that has left."""
    limits = only_vm.state.request_limits
    limited = _fetch(only_vm, _LIMITED).target
    only_vm.apply(TargetRemoved(limited.target_id))
    only_vm.now += 59
    only_vm.apply(HousekeepingDue())
    limits.record_send(limited)
    assert not limits.record_reply(limited, 5, only_vm.now)
    only_vm.now += 60
    only_vm.apply(HousekeepingDue())
    assert limits.record_reply(limited, 5, only_vm.now)
