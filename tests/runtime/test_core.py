"""Tests of the runtime with a scripted reducer and mock services."""

import asyncio
from random import Random
from unittest.mock import Mock, patch
from uuid import UUID

from nutmegstep.clock import ManualClock
from nutmegstep.engine import EngineState
from nutmegstep.engine.effects import (
    CancelAttempt,
    ReplyRefusal,
    RequestClaim,
    SendToTarget,
    SetTimer,
)
from nutmegstep.engine.events import (
    CallerDisconnected,
    ClaimRefused,
    FailureKind,
    OneShotArrived,
    QueryArrived,
    TargetFailed,
    TimerFired,
    TimerKey,
    TimerKind,
)
from nutmegstep.model import Fleet, IdempotentQuery, OneShotRequest, Target
from nutmegstep.runtime import Runtime
from nutmegstep.verdict import Reason, Verdict, refuse

_KEY = UUID('01890a5d-ac96-774b-bcce-b302099a8057')
_QUERY = IdempotentQuery('r', 's', b'{}', 1)
_ONE_SHOT = OneShotRequest('r', 's', 'k', _KEY, b'{}', 1)
_REFUSAL = refuse(Verdict.NOT_RUN, Reason.OVERLOADED, 'full')
_SENDS = (
    SendToTarget(1, 1, 't', 's', 1, b'', 1, ''),
    SendToTarget(2, 1, 't', 's', 1, b'', 1, ''),
)


class _ScriptedReducer:
    """Replacement for the reducer that returns effects by type of event."""

    def __init__(self, effects_by_event) -> None:
        self.events = []
        self._effects_by_event = effects_by_event

    def reduce(self, state, event, now):
        self.events.append(event)
        return self._effects_by_event.get(type(event), [])


def _runtime(pool) -> Runtime:
    state = EngineState('d', Random(1))
    target = Target('t', '127.0.0.1', 1, 'd', 1, 1, 9)
    state.fleet = Fleet(1, {}, {'t': target}, 2, {})
    return Runtime(state, ManualClock(), pool)


async def test_event_from_effect_is_queued() -> None:
    """Guards against cancelling an attempt before its send is performed.

    The first of two sends fails immediately, and the reducer reacts to the
    failure by cancelling the second one.
    """
    calls = []

    def send(effect, target, limit, report) -> None:
        calls.append(('send', effect.attempt_id))
        if effect.attempt_id == 1:
            report(TargetFailed(1, FailureKind.CONNECT, False))

    pool = Mock(send=send, cancel=lambda one: calls.append(('cancel', one)))
    reducer = _ScriptedReducer(
        {QueryArrived: _SENDS, TargetFailed: [CancelAttempt(2)]}
    )
    with patch('nutmegstep.runtime.core.reduce', reducer.reduce):
        _runtime(pool).dispatch(QueryArrived(1, _QUERY))
    assert calls == [('send', 1), ('send', 2), ('cancel', 2)]


async def test_cancelled_execute_reports_disconnect_once() -> None:
    """Guards against work that continues after the caller has disconnected.

    The web server cancels the handler, and with it `Runtime.execute`.
    """
    reducer = _ScriptedReducer({})
    with patch('nutmegstep.runtime.core.reduce', reducer.reduce):
        executing = asyncio.create_task(_runtime(Mock()).execute(_QUERY))
        await asyncio.sleep(0)
        executing.cancel()
        await asyncio.gather(executing, return_exceptions=True)
    assert reducer.events == [QueryArrived(1, _QUERY), CallerDisconnected(1)]


async def test_claim_service_gets_the_request() -> None:
    """Guards against a claim that lacks a part of the request.

    The claim service needs the whole request for its fingerprint, whereas the
    effect contains only identifiers and the deadline.
    """
    claim = RequestClaim(1, _KEY, 1)
    reducer = _ScriptedReducer(
        {OneShotArrived: [claim], ClaimRefused: [ReplyRefusal(1, _REFUSAL)]},
    )
    with patch('nutmegstep.runtime.core.reduce', reducer.reduce):
        runtime = _runtime(Mock())
        runtime.claims = Mock()
        runtime.claims.claim.side_effect = lambda request, query_id: (
            runtime.dispatch(ClaimRefused(query_id, _REFUSAL))
        )
        reply = await runtime.execute(_ONE_SHOT)
    runtime.claims.claim.assert_called_once_with(_ONE_SHOT, 1)
    assert reply.failure() is _REFUSAL


async def test_missing_claim_service_gives_correct_verdict() -> None:
    """Guards against a false `not run` while no claim service is available.

    Another VM may have run an earlier attempt with the same key.
    """
    reducer = _ScriptedReducer({OneShotArrived: [RequestClaim(1, _KEY, 1)]})
    with patch('nutmegstep.runtime.core.reduce', reducer.reduce):
        executing = asyncio.create_task(_runtime(Mock()).execute(_ONE_SHOT))
        await asyncio.sleep(0)
        executing.cancel()
    refusal = reducer.events[1].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.attempt_verdict is Verdict.NOT_RUN


async def test_later_timer_replaces_earlier_one() -> None:
    """Guards against a timer that fires twice for one key.

    The reducer sets a timer again before the earlier one has fired.
    """
    timer = TimerKey(TimerKind.HEDGE, 1)
    reducer = _ScriptedReducer(
        {QueryArrived: [SetTimer(timer, 0), SetTimer(timer, 0)]}
    )
    with patch('nutmegstep.runtime.core.reduce', reducer.reduce):
        _runtime(Mock()).dispatch(QueryArrived(1, _QUERY))
        await asyncio.sleep(0.01)
    assert reducer.events[1:] == [TimerFired(timer)]
