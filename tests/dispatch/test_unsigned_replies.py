"""Replies without a signature, which nothing shows to come from the target."""

import pytest

from nutmegstep.coordinators import CoordinatorChoice
from nutmegstep.dispatch.control_events import VmsCounted
from nutmegstep.dispatch.effects import (
    Delegate,
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    SendRequest,
)
from nutmegstep.dispatch.events import DelegationAnswered
from nutmegstep.verdict import Reason, Verdict
from tests.dispatch.conftest import SHARDS, Dispatcher, reply

_STATUSES = (200, 201, 204, 299, 302, 404, 500, 503)
_COORDINATOR = '10.0.0.7:7740'


@pytest.fixture
def member(dispatcher: Dispatcher) -> Dispatcher:
    """Return the dispatcher of a VM that delegates queries."""
    choice = CoordinatorChoice((_COORDINATOR,), in_domain=1, total=6)
    dispatcher.apply(VmsCounted(65, 22, choice))
    dispatcher.effects.clear()
    return dispatcher


@pytest.mark.parametrize('status', _STATUSES)
def test_unsigned_reply_to_an_order(
    dispatcher: Dispatcher, status: int
) -> None:
    """Guards against an unsigned reply that is passed on: the order may have
    run, so it is neither sent again nor answered with another's word.
    """
    dispatcher.request('/order/1')
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.answer(sends, reply(status=status, signature=''))
    assert not dispatcher.effects_of(DeliverReply)
    assert len(dispatcher.effects_of(SendRequest)) == 1
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason is Reason.TARGET_FAILED


@pytest.mark.parametrize('status', _STATUSES)
def test_unsigned_reply_is_asked_for_elsewhere(
    dispatcher: Dispatcher, status: int
) -> None:
    """Guards against an unsigned reply that becomes the answer when the last
    attempt is used.
    """
    dispatcher.request('/fetch/1')
    unsigned = reply(status=status, signature='')
    dispatcher.answer(dispatcher.effects_of(SendRequest), unsigned)
    sends = dispatcher.effects_of(SendRequest)
    assert len({send.target.target_id for send in sends}) == 2
    dispatcher.answer(sends[1:], unsigned)
    assert not dispatcher.effects_of(DeliverReply)
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_signed_failure_is_passed_on(dispatcher: Dispatcher) -> None:
    """The failure of a target is the caller's answer, unchanged."""
    dispatcher.request('/order/1')
    failed = reply(b'why', status=500)
    dispatcher.answer(dispatcher.effects_of(SendRequest), failed)
    assert dispatcher.effects_of(DeliverReply)[0].reply == failed


def test_success_that_has_not_run(dispatcher: Dispatcher) -> None:
    """Guards against a status of 2xx, spoiled on the way, in a reply that says
    that the request has not run.
    """
    dispatcher.request('/order/1')
    turned_away = reply(status=203, was_executed=False)
    dispatcher.answer(dispatcher.effects_of(SendRequest), turned_away)
    assert not dispatcher.effects_of(DeliverReply)
    assert len(dispatcher.effects_of(SendRequest)) == 2


def test_unsigned_part_is_left_out(dispatcher: Dispatcher) -> None:
    """Guards against a merged answer with a part that nobody has signed."""
    dispatcher.request()
    first = dispatcher.effects_of(SendRequest)
    assert len(first) == len(SHARDS)
    dispatcher.answer(first[:1], reply(b'x' * 16, signature=''))
    repeated = dispatcher.effects_of(SendRequest)[len(SHARDS) :]
    dispatcher.answer(repeated, reply(b'x' * 16, signature=''))
    dispatcher.answer(first[1:])
    merged = dispatcher.effects_of(DeliverMerged)[0]
    assert merged.missing == 1
    assert b'x' not in merged.body


@pytest.mark.parametrize('path', ['/fetch/1', '/sweep/1'])
def test_unsigned_success_of_a_coordinator(
    member: Dispatcher, path: str
) -> None:
    """Guards against an unsigned success that another VM has passed on, which
    an older build does beside this one during an upgrade.
    """
    request = member.request(path)
    assert member.effects_of(Delegate)
    unsigned = reply(b'merged', signature='')
    member.apply(DelegationAnswered(*member.ids_of(request), unsigned))
    assert not member.effects_of(DeliverReply)
    assert member.effects_of(SendRequest)


def test_refusal_of_a_coordinator_is_passed_on(member: Dispatcher) -> None:
    """The coordinator itself refuses, so no target has signed it."""
    request = member.request('/fetch/1')
    refused = reply(b'why', status=503, signature='')
    member.apply(DelegationAnswered(*member.ids_of(request), refused))
    assert member.effects_of(DeliverReply)[0].reply == refused
