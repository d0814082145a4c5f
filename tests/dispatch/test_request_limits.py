"""Targets that state in their replies how many requests they accept."""

from dataclasses import replace

from nutmegstep.dispatch.effects import Decision, SendRequest
from nutmegstep.dispatch.events import TargetReplied, TargetReply
from tests.dispatch.conftest import Dispatcher, reply

_LIMITED = reply(request_limit=float(5))
_MISDIRECTED = reply(
    status=421, signature='', was_executed=False, is_misdirected=True
)


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


def test_begin_and_end_of_a_limit_are_logged(dispatcher: Dispatcher) -> None:
    """The log shows from when a target was limited and what this VM sent."""
    send = _fetch(dispatcher, _LIMITED)
    dispatcher.now += 0.5
    _fetch(dispatcher, _LIMITED)
    _fetch(dispatcher, reply())
    stated, ended = _limit_decisions(dispatcher)
    assert stated.name == 'request_limit_stated'
    assert stated.inputs == {'target': send.target.target_id, 'per_second': 5}
    assert ended.name == 'request_limit_ended'
    assert ended.inputs['after_ms'] == 500
    assert ended.inputs['sends'] == 2


def test_changed_limit_is_logged_again(dispatcher: Dispatcher) -> None:
    """Small changes are not, as each reply may state another number."""
    for limit in (5, 5.1, 9):
        _fetch(dispatcher, replace(_LIMITED, request_limit=limit))
    assert [
        one.inputs['per_second'] for one in _limit_decisions(dispatcher)
    ] == [
        5,
        9,
    ]


def test_reply_of_another_target_does_not_end_a_limit(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a reused address, whose new owner answers 421."""
    _fetch(dispatcher, _LIMITED)
    _fetch(dispatcher, _MISDIRECTED)
    assert len(_limit_decisions(dispatcher)) == 1
