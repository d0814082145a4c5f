"""Failures of targets whose status would promise that nothing has run."""

from datetime import timedelta

import pytest

from nutmegstep.coordinators import CoordinatorChoice
from nutmegstep.dispatch.control_events import VmsCounted
from nutmegstep.dispatch.effects import (
    Delegate,
    DeliverRefusal,
    DeliverReply,
    SendRequest,
)
from nutmegstep.dispatch.events import DelegationAnswered
from nutmegstep.verdict import Reason, Refusal, Verdict
from tests.dispatch.conftest import Dispatcher, reply

_STATUSES = (408, 421, 429, 503)


def _only_refusal(dispatcher: Dispatcher) -> Refusal:
    """Return the refusal of a request that has no other answer."""
    assert not dispatcher.effects_of(DeliverReply)
    refused = dispatcher.effects_of(DeliverRefusal)
    assert len(refused) == 1
    return refused[0].refusal


def _lose_links(dispatcher: Dispatcher) -> None:
    choice = CoordinatorChoice(substitutes=('10.0.0.7:7740',))
    dispatcher.apply(VmsCounted(65, 22, choice))
    dispatcher.state.targets_lost_at = dispatcher.now
    dispatcher.state.links_suspected_at = dispatcher.now - 1


@pytest.mark.parametrize('status', _STATUSES)
def test_order_that_may_have_run_is_not_denied(
    dispatcher: Dispatcher, status: int
) -> None:
    """Guards against a caller that orders a second time, as the status of a
    target that has run the order promised that it had not.
    """
    dispatcher.request('/order/1')
    dispatcher.answer(
        dispatcher.effects_of(SendRequest), reply(b'why', status=status)
    )
    assert len(dispatcher.effects_of(SendRequest)) == 1
    refusal = _only_refusal(dispatcher)
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason is Reason.TARGET_FAILED
    assert str(status) in refusal.detail


def test_time_that_the_target_asks_for_is_passed_on(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a caller that returns before the time that the target has
    asked for, which was in the reply that is not passed on.
    """
    dispatcher.request('/order/1')
    failed = reply(status=503, retry_after=1.25)
    dispatcher.answer(dispatcher.effects_of(SendRequest), failed)
    assert _only_refusal(dispatcher).retry_after == timedelta(seconds=1.25)


@pytest.mark.parametrize('status', _STATUSES)
def test_order_sent_again_may_have_run(
    dispatcher: Dispatcher, status: int
) -> None:
    """Guards against the same at the second target, after the first has said that
    it has not run the order.
    """
    dispatcher.request('/order/1')
    turned_away = reply(status=503, was_executed=False)
    dispatcher.answer(dispatcher.effects_of(SendRequest), turned_away)
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.answer(sends[1:], reply(status=status))
    assert len(sends) == 2
    assert _only_refusal(dispatcher).verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('status', _STATUSES)
def test_repeated_or_hedged_request_may_have_run(
    dispatcher: Dispatcher, status: int
) -> None:
    """Guards against the same with the last attempt of a request that may run
    more than once.
    """
    dispatcher.request('/fetch/1')
    failed = reply(status=status)
    dispatcher.answer(dispatcher.effects_of(SendRequest), failed)
    dispatcher.answer(dispatcher.effects_of(SendRequest)[1:], failed)
    assert _only_refusal(dispatcher).verdict is Verdict.MAY_HAVE_RUN


def test_order_that_was_not_run_is_denied(dispatcher: Dispatcher) -> None:
    """Guards against a caller that must not order again though all targets have
    said that they have not run the order.
    """
    dispatcher.request('/order/1')
    turned_away = reply(status=503, was_executed=False)
    for number in range(4):
        sends = dispatcher.effects_of(SendRequest)
        dispatcher.answer(sends[number:], turned_away)
    assert _only_refusal(dispatcher).verdict is Verdict.NOT_RUN


@pytest.mark.parametrize('path', ['/order/1', '/fetch/1'])
@pytest.mark.parametrize('status', _STATUSES)
def test_reply_that_an_older_vm_passes_on(
    dispatcher: Dispatcher, status: int, path: str
) -> None:
    """Guards against the same in the answer of a VM with an older build, which
    passes the reply of its target on.
    """
    _lose_links(dispatcher)
    request = dispatcher.request(path)
    assert dispatcher.effects_of(Delegate)
    passed_on = reply(b'why', status=status)
    dispatcher.apply(
        DelegationAnswered(*dispatcher.ids_of(request), passed_on, '')
    )
    assert _only_refusal(dispatcher).verdict is Verdict.MAY_HAVE_RUN
    assert not dispatcher.state.open_by_id


@pytest.mark.parametrize('status', [429, 503])
def test_refusal_of_another_vm_is_passed_on(
    dispatcher: Dispatcher, status: int
) -> None:
    """A VM's own refusal promises that nothing has run, and that is true."""
    _lose_links(dispatcher)
    request = dispatcher.request('/order/1')
    refused = reply(b'{}', status=status, signature='')
    dispatcher.apply(
        DelegationAnswered(*dispatcher.ids_of(request), refused, '')
    )
    delivered = dispatcher.effects_of(DeliverReply)
    assert [one.reply for one in delivered] == [refused]
