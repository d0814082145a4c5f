"""Tests of target requests, retries, restarts and verdicts of queries."""

from nutmegstep.engine import effects as fx
from nutmegstep.engine import events as ev
from nutmegstep.model import CoverageRule
from nutmegstep.verdict import Reason, Verdict


def _answer(send, **fields):
    fields = {'index_version': send.index_version, 'boot_id': 'b'} | fields
    return ev.TargetAnswered(send.attempt_id, body=b'1', **fields)


def _fail(send, kind=ev.FailureKind.RESET, ran=True, held=()):
    return ev.TargetFailed(send.attempt_id, kind, ran, held)


def test_late_and_unknown_answers_change_nothing(build) -> None:
    """Guards against an answer that is counted for another attempt (G5).

    One answer has an unknown attempt identifier, another one arrives twice.
    """
    engine = build()
    engine.query()
    first, second = engine.effects_of(fx.SendToTarget)
    assert not engine.apply(ev.TargetAnswered(99, 1, 'b', b'x'))
    engine.apply(_answer(first))
    assert not engine.apply(_answer(first))
    engine.apply(_answer(second))
    assert engine.effects_of(fx.ReplyAnswer)[0].answer.covered == ('a', 'b')
    assert not engine.state.attempts_by_id


def test_answer_of_another_version_is_discarded(build) -> None:
    """Guards against an answer with results of two index versions (G1)."""
    engine = build()
    engine.query()
    first, _ = engine.effects_of(fx.SendToTarget)
    engine.apply(_answer(first, index_version=2))
    again = engine.only_effect(fx.SendToTarget)
    assert (again.shard, again.index_version) == (first.shard, 1)
    assert again.target != first.target


def test_version_gone_restarts_at_most_twice(build) -> None:
    """Guards against a query that restarts without end or mixes versions.

    Each target answers that it does not hold the requested version.
    """
    engine = build()
    engine.publish_versions(1, 2, 3, 4)
    engine.query()
    versions = [engine.effects_of(fx.SendToTarget)[0].index_version]
    while not engine.effects_of(fx.ReplyRefusal):
        send = engine.effects_of(fx.SendToTarget)[0]
        versions.append(send.index_version)
        gone = ev.FailureKind.VERSION_GONE
        engine.apply(_fail(send, gone, ran=False))
    assert set(versions) == {4, 3, 2}
    refusal = engine.effects_of(fx.ReplyRefusal)[0].refusal
    assert refusal.reason is Reason.SNAPSHOT_UNAVAILABLE


def test_version_not_loaded_restarts_without_retry_tokens(build) -> None:
    """Guards against a new version that uses up the retry budget.

    No target has loaded version 2 yet, and no retry token is left.
    """
    engine = build()
    engine.publish_versions(1, 2)
    engine.state.retries.tokens = 0
    engine.query()
    sends = engine.effects_of(fx.SendToTarget)
    while sends[0].index_version == 2:
        gone = ev.FailureKind.VERSION_GONE
        engine.apply(_fail(sends.pop(0), gone, ran=False, held=(1,)))
        sends += engine.effects_of(fx.SendToTarget)
        sends = [
            send
            for send in sends
            if send.attempt_id
            not in {
                effect.attempt_id
                for effect in engine.effects_of(fx.CancelAttempt)
            }
        ]
    assert {send.shard for send in sends} == {'a', 'b'}
    assert {send.index_version for send in sends} == {1}


def test_partial_answer_names_every_lacking_shard(build) -> None:
    """Guards against a partial answer that hides a lacking shard (G2)."""
    engine = build(CoverageRule.PARTIAL)
    engine.query()
    first, second = engine.effects_of(fx.SendToTarget)
    engine.apply(_answer(first))
    engine.apply(ev.TimerFired(ev.TimerKey(ev.TimerKind.DEADLINE, 1)), 1)
    answer = engine.effects_of(fx.ReplyAnswer)[0].answer
    assert [shard.name for shard in answer.lacking] == [second.shard]
    assert answer.lacking[0].reason == 'deadline_exceeded'
    assert (
        engine.effects_of(fx.CancelAttempt)[0].attempt_id == second.attempt_id
    )


def test_verdict_says_whether_an_attempt_may_have_run(build) -> None:
    """Guards against refusals with a wrong verdict.

    All attempts fail, in one case before a byte was sent, in the other later.
    """
    for ran in (False, True):
        engine = build()
        engine.query(record_key='k')
        while not engine.effects_of(fx.ReplyRefusal):
            engine.apply(_fail(engine.effects_of(fx.SendToTarget)[0], ran=ran))
        refusal = engine.effects_of(fx.ReplyRefusal)[0].refusal
        expected = Verdict.MAY_HAVE_RUN if ran else Verdict.NOT_RUN
        assert refusal.verdict is expected
        assert refusal.attempt_verdict is expected


def test_retries_avoid_withdrawn_and_draining_targets(build) -> None:
    """Guards against retries at withdrawn or draining targets (G4, G8)."""
    engine = build()
    engine.query(record_key='k')
    send = engine.only_effect(fx.SendToTarget)
    drained = frozenset((f'{send.shard}-2',))
    engine.apply(ev.ControlChanged(frozenset(('domain-1',)), drained))
    engine.apply(_fail(send))
    assert not engine.effects_of(fx.SendToTarget)
    assert engine.effects_of(fx.ReplyRefusal)


def test_drain_waits_for_requests_in_flight(build) -> None:
    """Guards against a process that stops with a request in flight (G9)."""
    engine = build()
    engine.query(record_key='k')
    send = engine.only_effect(fx.SendToTarget)
    assert not engine.apply(ev.DrainStarted())
    engine.query(2)
    assert (
        engine.effects_of(fx.ReplyRefusal)[0].refusal.reason is Reason.DRAINING
    )
    engine.apply(_answer(send))
    assert [type(effect) for effect in engine.effects[-2:]] == [
        fx.ReplyAnswer,
        fx.FinishDrain,
    ]
