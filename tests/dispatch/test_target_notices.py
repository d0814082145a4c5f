"""Targets that say in their replies that they leave or want no requests."""

from dataclasses import replace

import pytest

from nutmegstep.coordinators import CoordinatorChoice
from nutmegstep.dispatch.control_events import (
    TargetAnnounced,
    TargetRemoved,
    VmsCounted,
)
from nutmegstep.dispatch.effects import (
    Decision,
    DeliverMerged,
    DeliverRefusal,
    ReturnSends,
    SendRequest,
)
from nutmegstep.dispatch.events import (
    DelegationAnswered,
    RequestDue,
    SendFailed,
    SendFailureKind,
    TargetReplied,
    TargetReply,
)
from nutmegstep.dispatch.selection import is_usable
from nutmegstep.verdict import Reason, Verdict
from tests.dispatch.conftest import SHED, SHARDS, Dispatcher, records, reply

_LEAVING = reply(b'r' * 16, is_leaving=True)
_PAUSED = replace(SHED, retry_after=float(2))


def _answer(dispatcher: Dispatcher, answer: TargetReply, path: str) -> str:
    """Answer the first send of a request; return its target."""
    before = len(dispatcher.effects_of(SendRequest))
    dispatcher.request(path)
    send = dispatcher.effects_of(SendRequest)[before]
    dispatcher.apply(TargetReplied(send.send_id, answer))
    return send.target.target_id


def _is_draining(dispatcher: Dispatcher, target_id: str) -> bool:
    registry = dispatcher.state.registry
    return registry.by_id[target_id].is_draining


def _targets(dispatcher: Dispatcher) -> set[str]:
    """Return the targets of further requests that are answered."""
    before = len(dispatcher.effects_of(SendRequest))
    for _ in range(30):
        dispatcher.request('/fetch/x')
        dispatcher.answer(dispatcher.effects_of(SendRequest)[-1:])
        dispatcher.now += 0.01
    return {
        one.target.target_id
        for one in dispatcher.effects_of(SendRequest)[before:]
    }


@pytest.mark.parametrize(
    'answer',
    [
        _LEAVING,
        replace(_LEAVING, status=500),
        replace(SHED, is_leaving=True),
    ],
)
@pytest.mark.parametrize('path', ['/fetch/x', '/order/x'])
def test_leaving_target_gets_nothing_more(
    dispatcher: Dispatcher, answer: TargetReply, path: str
) -> None:
    """Guards against requests to a target that has said in an answer of any kind
    that it leaves, while the store still lists it as serving.
    """
    left = _answer(dispatcher, answer, path)
    assert dispatcher.effects_of(ReturnSends) == [ReturnSends(left)]
    dispatcher.apply(TargetAnnounced(records()[left]))
    dispatcher.apply(TargetRemoved(left))
    dispatcher.apply(TargetAnnounced(records()[left]))
    assert left not in _targets(dispatcher)


def test_answer_after_the_end_of_its_request_counts(
    dispatcher: Dispatcher,
) -> None:
    """Guards against requests to a target whose last answer came late."""
    request = dispatcher.request('/sweep/x')
    late, *others = dispatcher.effects_of(SendRequest)
    dispatcher.answer(others)
    dispatcher.now = request.arrived_at + 0.14
    dispatcher.apply(RequestDue(request.request_id))
    assert dispatcher.effects_of(DeliverMerged)
    dispatcher.apply(TargetReplied(late.send_id, _LEAVING))
    assert _is_draining(dispatcher, late.target.target_id)


def test_restarted_target_is_used_again(dispatcher: Dispatcher) -> None:
    """Guards against a target that is never used again under its identifier."""
    left = _answer(dispatcher, _LEAVING, '/fetch/x')
    restarted = replace(records()[left], started_ms=2)
    dispatcher.apply(TargetAnnounced(restarted))
    assert not _is_draining(dispatcher, left)


def test_notice_is_learned_through_another_vm(dispatcher: Dispatcher) -> None:
    """Guards against a VM that sends requests to a leaving target once it loses
    its coordinators.
    """
    choice = CoordinatorChoice(('10.0.0.7:7740',), in_domain=1, total=3)
    dispatcher.apply(VmsCounted(65, 22, choice))
    request = dispatcher.request('/fetch/x')
    dispatcher.apply(
        DelegationAnswered(*dispatcher.ids_of(request), _LEAVING, 'orders-west')
    )
    assert _is_draining(dispatcher, 'orders-west')


def test_shard_whose_targets_leave_is_missing_at_once(
    dispatcher: Dispatcher,
) -> None:
    """Guards against queries that wait for a shard without targets."""
    for record in records().values():
        if record.service == SHARDS[0]:
            dispatcher.state.registry.mark_leaving(record)
    dispatcher.request('/sweep/x')
    sends = dispatcher.effects_of(SendRequest)
    assert len(sends) == len(SHARDS) - 1
    dispatcher.answer(sends)
    assert dispatcher.effects_of(DeliverMerged)[0].missing == 1


def test_paused_target_gets_nothing_until_the_end(
    dispatcher: Dispatcher,
) -> None:
    """Guards against requests to a target that has asked for time, and against
    one that is not used again afterwards.
    """
    paused = _answer(dispatcher, _PAUSED, '/fetch/x')
    assert dispatcher.effects_of(ReturnSends) == [ReturnSends(paused)]
    assert paused not in _targets(dispatcher)
    dispatcher.now += 2.2
    assert is_usable(dispatcher.state, records()[paused], dispatcher.now)


@pytest.mark.parametrize('path', ['/fetch/x', '/order/x'])
def test_refused_request_goes_to_another_target_at_once(
    dispatcher: Dispatcher, path: str
) -> None:
    """Guards against a request that waits although another target serves it."""
    paused = _answer(dispatcher, _PAUSED, path)
    repeated = dispatcher.effects_of(SendRequest)[-1].target.target_id
    assert repeated != paused


def test_request_is_refused_while_all_targets_are_paused(
    dispatcher: Dispatcher,
) -> None:
    """Guards against callers that wait, or return before a target is used."""
    for _ in range(3):
        _answer(dispatcher, replace(_PAUSED, retry_after=0.4), '/order/x')
    sent = len(dispatcher.effects_of(SendRequest))
    dispatcher.request('/order/x')
    assert len(dispatcher.effects_of(SendRequest)) == sent
    refusal = dispatcher.effects_of(DeliverRefusal)[-1].refusal
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is Reason.OVERLOADED
    assert 0.4 <= refusal.retry_after.total_seconds() <= 0.5
    dispatcher.now += refusal.retry_after.total_seconds()
    dispatcher.request('/order/x')
    assert len(dispatcher.effects_of(SendRequest)) == sent + 1


def test_long_pause_ends(dispatcher: Dispatcher) -> None:
    """Guards against a target that is out of use for good."""
    huge = replace(_PAUSED, retry_after=float('1e9'))
    paused = _answer(dispatcher, huge, '/fetch/x')
    dispatcher.now += 331
    assert is_usable(dispatcher.state, records()[paused], dispatcher.now)


def test_shorter_pause_does_not_end_a_longer_one(
    dispatcher: Dispatcher,
) -> None:
    """Guards against requests within a time that an earlier answer has named."""
    dispatcher.request('/fetch/x')
    first = dispatcher.effects_of(SendRequest)[0].target
    limits = dispatcher.state.request_limits
    limits.record_pause(first, 3, dispatcher.now)
    limits.record_pause(first, 1, dispatcher.now)
    assert not limits.may_send(first, dispatcher.now + 2.9)


def test_vms_return_at_different_moments(dispatcher: Dispatcher) -> None:
    """Guards against a target that gets the requests of all VMs at once."""
    dispatcher.apply(VmsCounted(7, 3))
    target = records()['orders-north']
    state = dispatcher.state
    ends = set()
    for rank in range(7):
        state.coordinators = replace(state.coordinators, rank=rank)
        restarted = replace(target, started_ms=rank)
        state.request_limits.record_pause(restarted, 2, dispatcher.now)
        ends.add(
            state.request_limits.seconds_until_allowed(
                restarted, dispatcher.now
            )
        )
    assert len(ends) == 7


def test_returned_send_goes_to_another_target(dispatcher: Dispatcher) -> None:
    """Guards against a request that waits for a connection to a target which
    wants no more requests.
    """
    dispatcher.request('/order/x')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.state.registry.mark_leaving(send.target)
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.NOT_WRITTEN))
    other = dispatcher.effects_of(SendRequest)[-1].target
    assert other.target_id != send.target.target_id


def test_notices_are_logged(dispatcher: Dispatcher) -> None:
    """The log names the target, the source and the end of the time."""
    answer = replace(
        _PAUSED, is_leaving=True, invalid_retry_after='2, 1', retry_after=2.0
    )
    target = _answer(dispatcher, answer, '/fetch/x')
    logged = {
        one.name: one.inputs
        for one in dispatcher.effects_of(Decision)
        if one.inputs.get('target') == target
    }
    assert logged['target_leaving']['source'] == 'reply'
    assert logged['target_paused']['seconds'] >= 2
    assert logged['retry_after_invalid']['stated'] == '2, 1'
