"""Tests of the records that operators read with `explain`."""

from nutmegstep.engine import effects as fx
from nutmegstep.engine import events as ev
from nutmegstep.engine.explaining import find_explanations
from nutmegstep.model import CoverageRule
from nutmegstep.verdict import Reason


def test_refused_partial_and_slow_queries_are_recorded(build) -> None:
    """Guards against a refused, partial or slow query without a record."""
    engine = build(CoverageRule.PARTIAL)
    kinds = []
    for number, answered in enumerate((0, 1, 2)):
        engine.query(number)
        for send in engine.effects_of(fx.SendToTarget)[:answered]:
            answer = ev.TargetAnswered(send.attempt_id, 1, 'b', b'1')
            engine.apply(answer, 0.9)
        timer = ev.TimerKey(ev.TimerKind.DEADLINE, number)
        engine.apply(ev.TimerFired(timer), 1)
        record = find_explanations(engine.state, f'r-{number}')[0]
        kinds.append((record.kind, len(record.lacking)))
    assert kinds == [('refused', 2), ('partial', 1), ('slow', 0)]


def test_records_are_bounded_and_quick_answers_leave_none(build) -> None:
    """Guards against records whose memory grows with each request.

    Only the latest 512 requests that were refused, partial or slow are kept.
    """
    engine = build()
    engine.query(1, record_key='k')
    send = engine.only_effect(fx.SendToTarget)
    engine.apply(ev.TargetAnswered(send.attempt_id, 1, 'b', b'1'), 0.01)
    assert not engine.state.explanations
    for number in range(600):
        engine.query(number, deadline=-1)
    assert len(engine.state.explanations) == 512
    record = find_explanations(engine.state, 'r-599')[0]
    assert record.refusal.reason is Reason.DEADLINE_EXCEEDED


def test_deadline_of_one_caller_is_recorded_for_that_caller(build) -> None:
    """Guards against an explanation of a partial answer under the identifiers
    of the callers that still wait for the same query.
    """
    engine = build(CoverageRule.PARTIAL)
    engine.query(1, body=b'same')
    engine.query(2, now=0.5, body=b'same')
    timer = ev.TimerKey(ev.TimerKind.DEADLINE, 1)
    engine.apply(ev.TimerFired(timer), 1)
    assert find_explanations(engine.state, 'r-1')
    assert not find_explanations(engine.state, 'r-2')
