"""Tests that a target executes a one-shot request at most once (G7)."""

from uuid import UUID

import pytest
from mypy import api

from nutmegstep.engine import effects as fx
from nutmegstep.engine import events as ev
from nutmegstep.model import OneShotRequest, SendPermit
from nutmegstep.verdict import Reason, Verdict, refuse

KEY = UUID('01890000-0000-7000-8000-000000000000')
PERMIT = SendPermit(KEY, b'nonce')
DEADLINE = ev.TimerFired(ev.TimerKey(ev.TimerKind.DEADLINE, 1))
SECOND_SEND = """
from nutmegstep.engine.permits import PinnedTarget, send_once
from nutmegstep.engine.state import EngineState, OneShotSent
def send_again(state: EngineState, sent: OneShotSent, to: PinnedTarget) -> None:
    send_once(state, sent, to, 0)  # type: ignore[arg-type]
"""


@pytest.fixture
def engine(build):
    """Return an engine with a one-shot request whose claim is undecided."""
    started = build()
    request = OneShotRequest('r', 'stock', 'k', KEY, b'{}', deadline=1)
    started.apply(ev.OneShotArrived(1, request))
    assert len(started.effects_of(fx.RequestClaim)) == 1
    assert not started.effects_of(fx.SendToTarget)
    return started


def test_answer_is_stored_for_repeats(engine) -> None:
    """Guards against an answer that is not stored or a missing permit."""
    engine.apply(ev.ClaimWon(1, PERMIT))
    send = engine.only_effect(fx.SendToTarget)
    assert send.permit == PERMIT
    engine.apply(ev.TargetAnswered(send.attempt_id, 1, 'b', b'1'))
    answer = engine.effects_of(fx.ReplyAnswer)[0].answer
    assert engine.effects_of(fx.RecordClaimOutcome)[0].answer == answer
    assert not engine.apply(ev.ClaimWon(1, PERMIT))


def test_request_that_may_have_run_is_not_sent_again(engine) -> None:
    """Guards against a second send after a target may have run the request.

    The connection is reset after bytes of the request were handed over.
    """
    engine.apply(ev.ClaimWon(1, PERMIT))
    send = engine.only_effect(fx.SendToTarget)
    reset = ev.FailureKind.RESET
    engine.apply(ev.TargetFailed(send.attempt_id, reset, may_have_run=True))
    assert not engine.effects_of(fx.SendToTarget)
    refusal = engine.effects_of(fx.ReplyRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert engine.effects_of(fx.RecordClaimOutcome)[0].may_have_run


def test_request_that_did_not_run_returns_its_permit(engine) -> None:
    """Guards against `may_have_run` after every target refused the request."""
    engine.apply(ev.ClaimWon(1, PERMIT))
    targets = []
    while not engine.effects_of(fx.ReplyRefusal):
        send = engine.only_effect(fx.SendToTarget)
        targets.append(send.target)
        shed = ev.FailureKind.SHED
        engine.apply(ev.TargetFailed(send.attempt_id, shed, may_have_run=False))
    assert len(set(targets)) == len(targets) == 3
    refusal = engine.effects_of(fx.ReplyRefusal)[0].refusal
    assert refusal.verdict is Verdict.NOT_RUN
    assert not engine.effects_of(fx.RecordClaimOutcome)[0].may_have_run


def test_claim_won_after_the_deadline_is_released(engine) -> None:
    """Guards against the send of a request that was refused already.

    The deadline passes before the claim is decided, and the claim is won
    after that.
    """
    engine.apply(DEADLINE, 1)
    refusal = engine.effects_of(fx.ReplyRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.attempt_verdict is Verdict.NOT_RUN
    engine.apply(ev.ClaimWon(1, PERMIT), 1)
    settled = engine.only_effect(fx.RecordClaimOutcome)
    assert not settled.may_have_run
    assert not engine.apply(ev.ClaimWon(1, PERMIT), 1)


def test_drain_waits_for_an_abandoned_claim(engine) -> None:
    """Guards against a drain that ends before a claim is decided, or never.

    The caller disconnects before the claim of its request is decided.
    """
    engine.apply(ev.CallerDisconnected(1))
    assert not engine.apply(ev.DrainStarted())
    refusal = refuse(Verdict.MAY_HAVE_RUN, Reason.ALREADY_CLAIMED, '')
    engine.apply(ev.ClaimRefused(1, refusal))
    assert [type(effect) for effect in engine.effects] == [fx.FinishDrain]


def test_second_send_is_a_type_error() -> None:
    """Guards against a send function that accepts a request already sent."""
    args = ('--config-file=', '--strict', '-c', SECOND_SEND)
    report, errors, status = api.run(list(args))
    assert (status, errors) == (0, ''), report


def _fill_slots(build):
    started = build()
    for query_id in range(1, 14):
        request = OneShotRequest('r', 'stock', 'k', KEY, b'{}', deadline=1)
        started.apply(ev.OneShotArrived(query_id, request))
        started.apply(ev.ClaimWon(query_id, PERMIT))
    assert not started.effects
    return started


def test_request_waits_for_a_slot(build) -> None:
    """Guards against the refusal of a request that could wait for a slot."""
    engine = _fill_slots(build)
    engine.apply(ev.TargetAnswered(1, 1, 'b', b'1'))
    send = engine.only_effect(fx.SendToTarget)
    assert (send.query_id, send.permit) == (13, PERMIT)
    assert not any(engine.state.admission.one_shots_by_class.values())


@pytest.mark.parametrize('ending', ['late', 'gone', 'withdrawn'])
def test_waiting_request_has_not_run(build, ending: str) -> None:
    """Guards against a claim that is not released, and a later send.

    The request waits for a slot when its deadline passes, its caller
    disconnects or all failure domains are withdrawn.
    """
    engine = _fill_slots(build)
    timer = ev.TimerKey(ev.TimerKind.DEADLINE, 13)
    domains = frozenset(f'domain-{number}' for number in range(3))
    event = {
        'late': ev.TimerFired(timer),
        'gone': ev.CallerDisconnected(13),
        'withdrawn': ev.ControlChanged(domains, frozenset()),
    }[ending]
    engine.apply(event, 1 if ending == 'late' else 0)
    assert not engine.only_effect(fx.RecordClaimOutcome).may_have_run
    refusals = [reply.refusal for reply in engine.effects_of(fx.ReplyRefusal)]
    assert len(refusals) == (ending != 'gone')
    assert all(one.verdict is Verdict.NOT_RUN for one in refusals)
    assert not any(engine.state.admission.one_shots_by_class.values())
    engine.apply(ev.TargetAnswered(1, 1, 'b', b'1'))
    assert not engine.effects_of(fx.SendToTarget)


def test_waiting_requests_are_bounded(build) -> None:
    """Guards against an unlimited number of requests that wait for a slot.

    Each of them holds a claim while the targets are slow.
    """
    engine = _fill_slots(build)
    for query_id in range(14, 78):
        request = OneShotRequest('r', 'stock', 'k', KEY, b'{}', deadline=1)
        engine.apply(ev.OneShotArrived(query_id, request))
        engine.apply(ev.ClaimWon(query_id, PERMIT))
    refusal = engine.only_effect(fx.ReplyRefusal).refusal
    assert refusal.reason is Reason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
