"""Tests of when requests are answered or refused, and with what."""

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


def test_complete_answer_is_delivered_with_the_last_part(
    dispatcher: Dispatcher,
) -> None:
    """Guards against holding back an answer although all parts have replied."""
    dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.answer(sends[:-1])
    assert not dispatcher.effects_of(DeliverMerged)
    dispatcher.answer(sends[-1:], reply(b'z' * 16 + b'a' * 16 + b'rest'))
    merged = dispatcher.effects_of(DeliverMerged)[0]
    assert merged.missing == 0
    assert len(merged.signatures) == 10
    assert merged.body == b'z' * 16 + b'r' * 16


def test_long_part_is_shortened_as_it_arrives(dispatcher: Dispatcher) -> None:
    """Guards against a VM that keeps and sorts the long parts of all targets in
    one step when a query is answered.
    """
    request = dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    long = b'a' * 16 * 100_000 + b'z' * 16
    dispatcher.answer(sends[:1], reply(long))
    open_request = dispatcher.state.open_by_id[request.request_id]
    kept = [part.reply for part in open_request.parts if part.reply]
    assert [one.body for one in kept] == [b'z' * 16 + b'a' * 16]
    dispatcher.answer(sends[1:], reply(b'b' * 16))
    merged = dispatcher.effects_of(DeliverMerged)[0]
    assert merged.body == b'z' * 16 + b'b' * 16


def test_missing_part_is_waited_for_within_the_target_latency(
    dispatcher: Dispatcher,
) -> None:
    """Guards against partial answers while a complete one can still be in time.

    Nine of ten parts satisfy the required coverage, but a reply of the tenth
    one is still expected.
    """
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
    """Guards against late answers and against answers with too few parts.

    When the target latency is nearly over, a request must be answered if its
    coverage suffices, and must wait further if it does not.
    """
    request = dispatcher.request()
    dispatcher.answer(dispatcher.effects_of(SendRequest)[:answered])
    dispatcher.now += 0.135
    dispatcher.apply(RequestDue(request.request_id))
    merged = dispatcher.effects_of(DeliverMerged)
    assert [one.missing for one in merged] == [1] * is_delivered


def test_answer_is_not_held_for_a_shard_without_targets(
    dispatcher: Dispatcher,
) -> None:
    """Guards against queries that wait for a shard without targets."""
    for domain in ('north', 'south', 'west'):
        dispatcher.state.registry.remove(f'shard-3-{domain}', dispatcher.now)
    dispatcher.request()
    dispatcher.answer(dispatcher.effects_of(SendRequest))
    assert dispatcher.effects_of(DeliverMerged)[0].missing == 1


def test_query_that_cannot_be_covered_is_refused_before_any_send(
    dispatcher: Dispatcher,
) -> None:
    """Guards against sends for a query that must be refused.

    With two of ten shards without targets the required coverage is out of
    reach from the start.
    """
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
    """Guards against holding back a late answer that covers enough parts.

    After the target latency, the answer must not wait for the next timer.
    """
    request = dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.answer(sends[:8])
    dispatcher.now += 0.3
    dispatcher.apply(RequestDue(request.request_id))
    dispatcher.answer(sends[8:9])
    assert dispatcher.effects_of(DeliverMerged)[0].missing == 1


def test_deadline_refuses_with_the_verdict_may_have_run(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a request without an answer and against a wrong verdict.

    A target may have run the request by the time of the deadline.
    """
    request = dispatcher.request('/fetch/1')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.now += 1.995
    dispatcher.apply(RequestDue(request.request_id))
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason is Reason.DEADLINE_EXCEEDED
    assert CancelSend(send.send_id) in dispatcher.effects


def test_caller_deadline_shortens_the_timeout(dispatcher: Dispatcher) -> None:
    """Guards against targets that work longer than the caller waits.

    The deadline of the caller can be earlier than the timeout of the route.
    """
    dispatcher.request('/fetch/1', time_left=0.4)
    assert dispatcher.effects_of(SendRequest)[0].expires_at < 100.4


def test_caller_that_leaves_cancels_the_sends(dispatcher: Dispatcher) -> None:
    """Guards against targets that work on a request that nobody waits for."""
    request = dispatcher.request()
    dispatcher.apply(CallerLeft(request.request_id))
    assert len(dispatcher.effects_of(CancelSend)) == 10


def test_non_idempotent_work_goes_on_without_its_caller(
    dispatcher: Dispatcher,
) -> None:
    """Guards against leaving work that is not idempotent half done.

    Cancelling its send would close the connection, which stops the target.
    """
    request = dispatcher.request('/order/1')
    dispatcher.apply(CallerLeft(request.request_id))
    assert not dispatcher.effects_of(CancelSend)


def test_non_idempotent_request_is_not_repeated_after_a_reset(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a second run and against a verdict that denies the first.

    After a reset, nothing shows whether the target ran the request.
    """
    dispatcher.request('/order/1')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.RESET))
    assert len(dispatcher.effects_of(SendRequest)) == 1
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('is_shed', [True, False])
def test_non_idempotent_request_is_repeated_when_nothing_ran(
    dispatcher: Dispatcher,
    is_shed: bool,
) -> None:
    """Guards against refusing a request that another target could serve.

    A request that is not idempotent may be repeated if it was shed or if no
    connection was made.
    """
    dispatcher.request('/order/1')
    send = dispatcher.effects_of(SendRequest)[0]
    if is_shed:
        dispatcher.answer([send], SHED)
    else:
        dispatcher.apply(SendFailed(send.send_id, SendFailureKind.CONNECT))
    sends = dispatcher.effects_of(SendRequest)
    assert len({one.target.target_id for one in sends}) == 2


def test_error_reply_of_the_target_is_passed_on_unchanged(
    dispatcher: Dispatcher,
) -> None:
    """Guards against replacing the error reply of a target by a refusal."""
    dispatcher.request('/order/1')
    failure = reply(b'broken', 500)
    dispatcher.answer(dispatcher.effects_of(SendRequest), failure)
    assert dispatcher.effects_of(DeliverReply)[0].reply is failure


def test_timer_is_set_for_the_hedge_first(dispatcher: Dispatcher) -> None:
    """Guards against hedges that are sent after the target latency.

    The timer must be set for the hedge, not only for the end of the request.
    """
    dispatcher.request()
    wake = dispatcher.effects_of(WakeAt)[-1]
    assert 100 < wake.instant < 100.07


def test_repeat_is_not_sent_after_the_deadline(dispatcher: Dispatcher) -> None:
    """Guards against repeats after the deadline by a paused process."""
    request = dispatcher.request('/fetch/1')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.now += 30
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.TIMEOUT))
    dispatcher.apply(RequestDue(request.request_id))
    assert len(dispatcher.effects_of(SendRequest)) == 1
    assert dispatcher.effects_of(DeliverRefusal)


def test_hedge_is_not_sent_after_the_deadline(dispatcher: Dispatcher) -> None:
    """Guards against hedges after the deadline by a paused process."""
    request = dispatcher.request()
    sends = len(dispatcher.effects_of(SendRequest))
    dispatcher.now += 30
    dispatcher.apply(RequestDue(request.request_id))
    assert len(dispatcher.effects_of(SendRequest)) == sends


def test_part_with_a_responsive_hedge_is_waited_for(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a partial answer although a hedge will reply in time.

    The part was first sent to a stalled target and is hedged at a responsive
    one, so it must not count as stalled any longer.
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
