"""Requests of a VM that reaches no target, passed to other VMs."""

import math

import pytest

from nutmegstep.coordinators import CoordinatorChoice, DelegationTerms
from nutmegstep.dispatch.control_events import TargetChecked, VmsCounted
from nutmegstep.dispatch.effects import (
    CancelDelegation,
    DeclineDelegation,
    Delegate,
    DeliverRefusal,
    DeliverReply,
    SendRequest,
)
from nutmegstep.dispatch.events import (
    DelegationAnswered,
    DelegationFailed,
    RequestDue,
    SendFailed,
    SendFailureKind,
)
from nutmegstep.verdict import Reason, Verdict
from tests.dispatch.conftest import Dispatcher, reply

_TEST_SECONDS = 0.3
_SUBSTITUTES = tuple(f'10.0.0.{number}:7740' for number in range(10))


@pytest.fixture
def stranded(dispatcher: Dispatcher) -> Dispatcher:
    """Return the dispatcher of a VM that has lost contact with all targets."""
    choice = CoordinatorChoice(substitutes=_SUBSTITUTES)
    dispatcher.apply(VmsCounted(11, 4, choice))
    dispatcher.state.links_suspected_at = dispatcher.now - _TEST_SECONDS
    dispatcher.state.targets_lost_at = dispatcher.now
    dispatcher.effects.clear()
    return dispatcher


@pytest.mark.parametrize(
    ('path', 'body'),
    [('/sweep/x', b''), ('/order/x', b'one'), ('/fetch/x', b'x' * 100_000)],
)
def test_any_request_is_passed_to_a_substitute(
    stranded: Dispatcher, path: str, body: bytes
) -> None:
    """Guards against callers that are served worse because their VM has lost
    its links: those of requests that coordinators do not get, too.
    """
    stranded.request(path, body=body)
    passed = stranded.effects_of(Delegate)
    assert [one.address for one in passed] == [_SUBSTITUTES[0]]
    assert passed[0].is_repeatable == (path != '/order/x')
    assert not stranded.effects_of(SendRequest)


def test_next_substitute_is_asked_when_one_declines(
    stranded: Dispatcher,
) -> None:
    """Guards against requests that fail because the first substitute has lost
    its links as well, and against asking all VMs of a fleet.
    """
    request = stranded.request('/order/x')
    for asked in range(1, 7):
        addresses = [one.address for one in stranded.effects_of(Delegate)]
        assert addresses == list(_SUBSTITUTES[:asked])
        assert not stranded.effects_of(DeliverRefusal)
        failed = DelegationFailed(
            *stranded.ids_of(request), 'no_contact', False
        )
        stranded.apply(failed)
    refusal = stranded.effects_of(DeliverRefusal)[0].refusal
    assert refusal.reason is Reason.NO_TARGET
    assert refusal.verdict is Verdict.NOT_RUN


def test_order_that_a_substitute_may_have_run_is_not_sent_again(
    stranded: Dispatcher,
) -> None:
    """Guards against a second run, and against telling the caller that nothing
    ran, after the answer of a substitute was lost.
    """
    request = stranded.request('/order/x')
    stranded.now += 1
    stranded.apply(RequestDue(request.request_id))
    assert not stranded.effects_of(DeliverRefusal)
    stranded.apply(DelegationFailed(*stranded.ids_of(request), 'reset', True))
    assert len(stranded.effects_of(Delegate)) == 1
    assert not stranded.effects_of(SendRequest)
    refusal = stranded.effects_of(DeliverRefusal)[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_attempts_of_an_earlier_substitute_count(
    stranded: Dispatcher,
) -> None:
    """Guards against more runs than the route allows when several substitutes
    get the same query.
    """
    request = stranded.request('/sweep/x')
    stranded.now += 0.06
    stranded.apply(RequestDue(request.request_id))
    runs = [one.terms.possible_runs for one in stranded.effects_of(Delegate)]
    assert runs == [0, 1]


def test_substitute_counts_the_attempts_before(dispatcher: Dispatcher) -> None:
    """Guards against hedges beyond the attempts that a route allows."""
    dispatcher.request('/fetch/x', delegated=DelegationTerms(1, 0.1, 1))
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.RESET))
    assert len(dispatcher.effects_of(SendRequest)) == 1


def test_vm_without_contact_declines(stranded: Dispatcher) -> None:
    """Guards against coordinators that accept the requests of others and fail
    them.
    """
    stranded.request(delegated=DelegationTerms(1, 0.1))
    assert stranded.effects_of(DeclineDelegation)[0].reason == 'no_contact'
    assert not stranded.effects_of(Delegate)


def test_request_that_could_not_be_sent_is_passed_on(
    stranded: Dispatcher,
) -> None:
    """Guards against failing requests that need a new connection, while kept
    ones still work.
    """
    stranded.state.targets_lost_at = math.inf
    stranded.state.links_suspected_at = math.inf
    stranded.request('/order/x')
    while not stranded.effects_of(Delegate):
        send = stranded.effects_of(SendRequest)[-1]
        stranded.apply(SendFailed(send.send_id, SendFailureKind.CONNECT))
    assert not stranded.effects_of(DeliverRefusal)


def test_substitutes_that_serve_no_better_are_not_asked(
    stranded: Dispatcher,
) -> None:
    """Guards against passing on each request of a shard that is gone for all
    VMs: what surely cannot be served is refused at once.
    """
    stranded.state.targets_lost_at = math.inf
    stranded.state.links_suspected_at = math.inf
    request = stranded.request('/order/x')
    while not stranded.effects_of(Delegate):
        send = stranded.effects_of(SendRequest)[-1]
        stranded.apply(SendFailed(send.send_id, SendFailureKind.CONNECT))
    answer = reply(status=503, signature='')
    stranded.apply(DelegationAnswered(*stranded.ids_of(request), answer))
    stranded.effects.clear()
    stranded.request('/order/x')
    assert stranded.effects_of(DeliverRefusal)
    assert not stranded.effects_of(Delegate)


def test_requests_are_passed_on_while_the_links_are_tested(
    stranded: Dispatcher,
) -> None:
    """Guards against requests that wait for dead links until their test ends.

    Working links end the suspicion within the time of a connection.
    """
    stranded.state.targets_lost_at = math.inf
    stranded.state.links_suspected_at = stranded.now
    stranded.request()
    assert not stranded.effects_of(Delegate)
    stranded.now += 0.03
    stranded.request()
    assert stranded.effects_of(Delegate)
    stranded.effects.clear()
    stranded.apply(TargetChecked('orders-north', is_listening=True))
    stranded.request()
    assert not stranded.effects_of(Delegate)


def test_end_of_a_cancelled_delegation_is_not_that_of_its_successor(
    stranded: Dispatcher,
) -> None:
    """Guards against a VM without links that loses all its sound substitutes, one
    after the other, when the first one has no power.
    """
    request = stranded.request()
    cancelled = stranded.ids_of(request)
    stranded.now += 0.06
    stranded.apply(RequestDue(request.request_id))
    assert (
        stranded.effects_of(CancelDelegation)[0].delegation_id == cancelled[1]
    )
    for reason in ('cancelled', 'not_written'):
        failed = DelegationFailed(*cancelled, reason, reason == 'cancelled')
        assert not stranded.apply(failed)
    assert not stranded.apply(DelegationAnswered(*cancelled, reply()))
    stranded.effects.clear()
    stranded.request()
    asked = [one.address for one in stranded.effects_of(Delegate)]
    assert asked == [_SUBSTITUTES[1]]
    answered = DelegationAnswered(*stranded.ids_of(request), reply())
    stranded.apply(answered)
    assert len(stranded.effects_of(DeliverReply)) == 1


def test_blocked_substitutes_are_asked_before_a_request_is_refused(
    stranded: Dispatcher,
) -> None:
    """Guards against requests that are refused without asking any VM, as all
    substitutes have failed before.
    """
    for address in _SUBSTITUTES:
        stranded.state.coordinator_health.record_failure(address, stranded.now)
    stranded.request()
    assert not stranded.effects_of(Delegate)
    stranded.now += 0.2
    stranded.request()
    assert len(stranded.effects_of(Delegate)) == 1
