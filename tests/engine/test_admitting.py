"""Tests of admission, queues and the merging of identical queries."""

from nutmegstep.engine import effects as fx
from nutmegstep.engine import events as ev
from nutmegstep.engine.admitting import early_refusal
from nutmegstep.model import CoverageRule
from nutmegstep.verdict import Reason, Verdict


def _deadline(query_id):
    return ev.TimerFired(ev.TimerKey(ev.TimerKind.DEADLINE, query_id))


def _answer(engine, send, now=0):
    engine.apply(ev.TargetAnswered(send.attempt_id, 1, 'b', b'1'), now)


def test_identical_queries_share_target_requests(build) -> None:
    """Guards against repeated target requests and wrong replies (G5).

    Three callers send the same query: the first one gets a partial answer at
    its deadline, the second disconnects, the third gets the complete answer.
    """
    engine = build(CoverageRule.PARTIAL)
    engine.query(1, body=b'same')
    first, second = engine.effects_of(fx.SendToTarget)
    engine.query(2, now=0.5, body=b'same')
    engine.query(3, now=0.5, body=b'same')
    assert not engine.effects_of(fx.SendToTarget)
    _answer(engine, first, 0.6)
    engine.apply(_deadline(1), 1)
    early = engine.only_effect(fx.ReplyAnswer)
    assert (early.query_id, len(early.answer.covered)) == (1, 1)
    assert not engine.effects_of(fx.CancelAttempt)
    engine.apply(ev.CallerDisconnected(2), 1)
    _answer(engine, second, 1.1)
    late = engine.only_effect(fx.ReplyAnswer)
    assert (late.query_id, late.answer.complete) == (3, True)
    assert len(early.answer.results_by_shard) == 1
    assert not engine.state.query_by_caller


def test_queue_is_bounded_and_drained_in_order(build) -> None:
    """Guards against a queue without a bound and against wrong verdicts.

    Nothing of a queued query was sent, so that its refusal is `not_run`.
    """
    engine = build()
    number = 0
    while early_refusal(engine.state, 'stock', 0) is None:
        number += 1
        engine.query(number)
    engine.query(number + 1)
    refusal = engine.only_effect(fx.ReplyRefusal).refusal
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    started = number - engine.state.admission.queued
    engine.apply(ev.CallerDisconnected(1))
    sends = engine.effects_of(fx.SendToTarget)
    assert {send.query_id for send in sends} == {started + 1}
    engine.apply(_deadline(number), 1)
    refusal = engine.only_effect(fx.ReplyRefusal).refusal
    assert refusal.reason is Reason.DEADLINE_EXCEEDED
    assert refusal.verdict is Verdict.NOT_RUN


def test_queued_query_without_enough_time_is_refused(build) -> None:
    """Guards against the start of a query that cannot be answered in time.

    When its turn comes, the median latency is longer than the time left.
    """
    engine = build()
    number = 0
    while not engine.state.admission.queued:
        number += 1
        engine.query(number)
    engine.state.latency_window_by_service['stock'].median = 0.3
    engine.apply(ev.CallerDisconnected(1), 0.8)
    assert not engine.effects_of(fx.SendToTarget)
    assert engine.only_effect(fx.ReplyRefusal).query_id == number
