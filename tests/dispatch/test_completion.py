"""Answer now or wait, and what a refusal says."""

import pytest

from nutmegstep.dispatch.effects import (
    CancelSend,
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    SendRequest,
    WakeAt,
)
from nutmegstep.dispatch.events import (
    CallerLeft,
    RequestDue,
    SendFailed,
    SendFailureKind,
)
from nutmegstep.verdict import Reason, Verdict
from tests.dispatch.conftest import SHED, Dispatcher, reply


def test_whole_answer_goes_out_with_the_last_part(
    dispatcher: Dispatcher,
) -> None:
    """Guards against answers that wait although every shard has answered."""
    dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.answer(sends[:-1])
    assert not dispatcher.effects_of(DeliverMerged)
    dispatcher.answer(sends[-1:], reply(b'z' * 16 + b'a' * 16 + b'rest'))
    merged = dispatcher.effects_of(DeliverMerged)[0]
    assert merged.missing == 0
    assert len(merged.signatures) == 10
    assert merged.body == b'z' * 16 + b'r' * 16


def test_missing_part_is_waited_for_within_the_target_latency(
    dispatcher: Dispatcher,
) -> None:
    """Guards against partial answers while a whole one can be in time."""
    request = dispatcher.request()
    dispatcher.answer(dispatcher.effects_of(SendRequest)[:9])
    dispatcher.now += 0.1
    dispatcher.apply(RequestDue(request.request_id))
    assert not dispatcher.effects_of(DeliverMerged)


@pytest.mark.parametrize(('answered', 'is_delivered'), [(9, True), (8, False)])
def test_partial_answer_needs_the_declared_coverage(
    dispatcher: Dispatcher,
    answered: int,
    is_delivered: bool,
) -> None:
    """Guards against late whole answers and against too little coverage."""
    request = dispatcher.request()
    dispatcher.answer(dispatcher.effects_of(SendRequest)[:answered])
    dispatcher.now += 0.135
    dispatcher.apply(RequestDue(request.request_id))
    merged = dispatcher.effects_of(DeliverMerged)
    assert [one.missing for one in merged] == [1] * is_delivered


def test_answer_is_not_held_for_a_shard_without_targets(
    dispatcher: Dispatcher,
) -> None:
    """Guards against each query waiting for a shard that is gone."""
    for domain in ('north', 'south', 'west'):
        dispatcher.state.registry.remove(f'shard-3-{domain}', dispatcher.now)
    dispatcher.request()
    dispatcher.answer(dispatcher.effects_of(SendRequest))
    assert dispatcher.effects_of(DeliverMerged)[0].missing == 1


def test_query_that_cannot_be_covered_is_refused_before_any_send(
    dispatcher: Dispatcher,
) -> None:
    """Guards against work for a query that is refused in the end."""
    for shard in ('shard-3', 'shard-4'):
        for domain in ('north', 'south', 'west'):
            dispatcher.state.registry.remove(f'{shard}-{domain}', 100)
    dispatcher.request()
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert not dispatcher.effects_of(SendRequest)
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is Reason.NO_TARGET
    assert refusal.retry_after.total_seconds() == pytest.approx(0.663, abs=0.01)


def test_late_answer_is_delivered_as_soon_as_it_covers_enough(
    dispatcher: Dispatcher,
) -> None:
    """Guards against ready answers that are not delivered once late."""
    request = dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.answer(sends[:8])
    dispatcher.now += 0.3
    dispatcher.apply(RequestDue(request.request_id))
    dispatcher.answer(sends[8:9])
    assert dispatcher.effects_of(DeliverMerged)[0].missing == 1


def test_deadline_ends_the_request_with_a_true_verdict(
    dispatcher: Dispatcher,
) -> None:
    """Guards against callers that are held, or told that nothing ran."""
    request = dispatcher.request('/fetch/1')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.now += 1.995
    dispatcher.apply(RequestDue(request.request_id))
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason is Reason.DEADLINE_EXCEEDED
    assert CancelSend(send.send_id) in dispatcher.effects


def test_caller_deadline_shortens_the_timeout(dispatcher: Dispatcher) -> None:
    """Guards against work beyond the time for which the caller waits."""
    dispatcher.request('/fetch/1', time_left=0.4)
    assert dispatcher.effects_of(SendRequest)[0].expires_at < 100.4


def test_caller_that_leaves_ends_the_work(dispatcher: Dispatcher) -> None:
    """Guards against targets that work for nobody."""
    request = dispatcher.request()
    dispatcher.apply(CallerLeft(request.request_id))
    assert len(dispatcher.effects_of(CancelSend)) == 10


def test_non_idempotent_work_goes_on_without_its_caller(
    dispatcher: Dispatcher,
) -> None:
    """Guards against an order that is cut off midway."""
    request = dispatcher.request('/order/1')
    dispatcher.apply(CallerLeft(request.request_id))
    assert not dispatcher.effects_of(CancelSend)


def test_non_idempotent_request_is_not_repeated_after_a_reset(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a second run, and against a refusal that denies the first."""
    dispatcher.request('/order/1')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.RESET))
    assert len(dispatcher.effects_of(SendRequest)) == 1
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('is_shed', [True, False])
def test_non_idempotent_request_moves_on_when_nothing_ran(
    dispatcher: Dispatcher,
    is_shed: bool,
) -> None:
    """Guards against refusals where another target could serve."""
    dispatcher.request('/order/1')
    send = dispatcher.effects_of(SendRequest)[0]
    if is_shed:
        dispatcher.answer([send], SHED)
    else:
        dispatcher.apply(SendFailed(send.send_id, SendFailureKind.CONNECT))
    sends = dispatcher.effects_of(SendRequest)
    assert len({one.target.target_id for one in sends}) == 2


def test_failure_of_the_target_is_passed_on_unchanged(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a target's own failure that turns into another status."""
    dispatcher.request('/order/1')
    failure = reply(b'broken', 500)
    dispatcher.answer(dispatcher.effects_of(SendRequest), failure)
    assert dispatcher.effects_of(DeliverReply)[0].reply is failure


def test_request_is_woken_for_its_hedge_first(dispatcher: Dispatcher) -> None:
    """Guards against hedges that are sent when the target latency is over."""
    dispatcher.request()
    wake = dispatcher.effects_of(WakeAt)[-1]
    assert 100 < wake.instant < 100.07


def test_nothing_is_sent_after_a_freeze(dispatcher: Dispatcher) -> None:
    """Guards against old work of a VM that wakes after the deadline."""
    request = dispatcher.request('/fetch/1')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.now += 30
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.TIMEOUT))
    dispatcher.apply(RequestDue(request.request_id))
    assert len(dispatcher.effects_of(SendRequest)) == 1
    assert dispatcher.effects_of(DeliverRefusal)


def test_hedge_is_not_sent_after_a_freeze(dispatcher: Dispatcher) -> None:
    """Guards against hedges of a VM that wakes after the deadline."""
    request = dispatcher.request()
    sends = len(dispatcher.effects_of(SendRequest))
    dispatcher.now += 30
    dispatcher.apply(RequestDue(request.request_id))
    assert len(dispatcher.effects_of(SendRequest)) == sends


def test_part_with_a_good_hedge_is_waited_for(dispatcher: Dispatcher) -> None:
    """Guards against an answer without a shard whose hedge is under way,
    because its first target had stalled.
    """
    for _ in range(3):
        dispatcher.request()
        dispatcher.now += 0.1
    stalled = {
        send.target.target_id: send
        for send in dispatcher.effects_of(SendRequest)
        if send.target.service == 'shard-9'
    }
    assert len(stalled) == 3
    dispatcher.effects.clear()
    request = dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.answer(sends[:8])
    returned = next(
        send
        for target, send in stalled.items()
        if target != sends[9].target.target_id
    )
    dispatcher.answer([returned])
    dispatcher.now += 0.06
    dispatcher.apply(RequestDue(request.request_id))
    dispatcher.answer(sends[8:9])
    delivered = dispatcher.effects_of(DeliverMerged)
    assert request.request_id not in [one.request_id for one in delivered]
