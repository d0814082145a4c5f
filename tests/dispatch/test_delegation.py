"""Delegation of queries in a large fleet with few queries per VM.

The load: each VM of a failure domain gets a query every few seconds and passes
it to one of the coordinators of its domain.
"""

from dataclasses import replace
from typing import TypeVar

import pytest

from nutmegstep.coordinators import CoordinatorChoice, DelegationTerms
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    TargetsListed,
    VmsCounted,
)
from nutmegstep.dispatch.effects import (
    CancelDelegation,
    DeclineDelegation,
    Delegate,
    DeliverRefusal,
    DeliverReply,
    SendRequest,
    WakeAt,
)
from nutmegstep.dispatch.events import (
    CallerLeft,
    DelegationAccepted,
    DelegationAnswered,
    DelegationFailed,
    RequestDue,
)
from nutmegstep.verdict import Verdict
from tests.dispatch.conftest import (
    SHARDS,
    Dispatcher,
    configuration,
    records,
    reply,
)

_FIRST = '10.0.0.7:7740'
_SECOND = '10.0.0.8:7740'
_CHOICE = CoordinatorChoice((_FIRST, _SECOND), in_domain=2, total=6)
_Kind = TypeVar('_Kind')
_ANSWER = reply(b'merged', signature='signed, signed too')


@pytest.fixture
def member(dispatcher: Dispatcher) -> Dispatcher:
    """Return the dispatcher of a VM that is not a coordinator itself."""
    dispatcher.apply(VmsCounted(65, 22, _CHOICE))
    dispatcher.effects.clear()
    return dispatcher


def _only(effects: list[_Kind]) -> _Kind:
    assert len(effects) == 1
    return effects[0]


def _allow_attempts(dispatcher: Dispatcher, attempts: int) -> None:
    known = configuration(version=2)
    route = known.routes_by_host['shop.example']['/sweep/']
    changed = replace(route, attempts=attempts)
    routes = {'shop.example': {'/sweep/': changed}}
    dispatcher.apply(
        ConfigurationChanged(replace(known, routes_by_host=routes))
    )


def _addresses(dispatcher: Dispatcher) -> list[str]:
    return [one.address for one in dispatcher.effects_of(Delegate)]


def test_query_is_delegated_and_nothing_is_sent(member: Dispatcher) -> None:
    """A query over many shards goes to the coordinator alone."""
    request = member.request()
    assert _addresses(member) == [_FIRST]
    assert not member.effects_of(SendRequest)
    member.now += 0.06
    member.apply(DelegationAnswered(*member.ids_of(request), _ANSWER))
    delivered = _only(member.effects_of(DeliverReply))
    assert delivered.reply == _ANSWER
    assert not member.state.open_by_id


def test_idempotent_request_to_one_service_is_delegated(
    member: Dispatcher,
) -> None:
    """Coordinators have the budget for repeats and know slow targets."""
    member.request('/fetch/x')
    assert _addresses(member) == [_FIRST]


@pytest.mark.parametrize(
    ('path', 'body'), [('/order/x', b''), ('/fetch/x', b'x' * 100_000)]
)
def test_request_that_is_not_delegated(
    member: Dispatcher, path: str, body: bytes
) -> None:
    """A request that must not run twice, or with a long body, is sent by the
    VM that received it.
    """
    member.request(path, body=body)
    assert not _addresses(member)
    assert len(member.effects_of(SendRequest)) == 1


def test_coordinator_learns_version_and_time_left(member: Dispatcher) -> None:
    """The coordinator must answer early enough for the way back."""
    member.request()
    sent = _only(member.effects_of(Delegate))
    assert sent.terms.config_version == 1
    assert 0.12 < sent.terms.partial_answer_in < 0.145 - 0.014


def test_declined_query_is_sent_at_once(member: Dispatcher) -> None:
    """A declined query has not run, so all sends are still allowed."""
    request = member.request()
    member.apply(DelegationFailed(*member.ids_of(request), 'stopping', False))
    sends = member.effects_of(SendRequest)
    assert len(sends) == len(SHARDS)
    open_request = member.state.open_by_id[request.request_id]
    assert {part.possible_runs for part in open_request.parts} == {1}


def test_silent_coordinator_is_left_after_its_time(member: Dispatcher) -> None:
    """A frozen coordinator costs a query a fraction of its target latency."""
    request = member.request()
    wake = member.effects_of(WakeAt)[0]
    assert wake.instant - member.now <= 0.145 / 4
    member.now = wake.instant
    member.apply(RequestDue(request.request_id))
    assert len(member.effects_of(SendRequest)) == len(SHARDS)
    assert member.effects_of(CancelDelegation)
    member.request()
    assert _addresses(member) == [_FIRST, _SECOND]


def test_accepted_query_waits_longer(member: Dispatcher) -> None:
    """A coordinator that has read the query is given time to gather."""
    request = member.request()
    member.apply(DelegationAccepted(*member.ids_of(request)))
    member.now += 1.9
    member.apply(RequestDue(request.request_id))
    assert not member.effects_of(SendRequest)
    assert not member.effects_of(DeliverRefusal)


@pytest.mark.parametrize('attempts', [1, 2, 3])
@pytest.mark.parametrize('kind', ['reset', 'deadline'])
def test_accepted_query_is_not_sent_a_second_time(
    member: Dispatcher, attempts: int, kind: str
) -> None:
    """Guards against more sends of a part than its route allows: a coordinator
    that has confirmed a query may have used all of them.
    """
    _allow_attempts(member, attempts)
    request = member.request()
    member.apply(DelegationAccepted(*member.ids_of(request)))
    if kind == 'reset':
        member.apply(DelegationFailed(*member.ids_of(request), 'reset', True))
    else:
        member.now += 2
        member.apply(RequestDue(request.request_id))
    assert not member.effects_of(SendRequest)
    refused = _only(member.effects_of(DeliverRefusal))
    assert refused.refusal.verdict is Verdict.MAY_HAVE_RUN


def test_lost_query_counts_as_a_send(member: Dispatcher) -> None:
    """A coordinator that failed may have sent each part once, so with two
    attempts this VM may send each part once more, and not hedge.
    """
    request = member.request()
    member.apply(DelegationFailed(*member.ids_of(request), 'reset', True))
    assert len(member.effects_of(SendRequest)) == len(SHARDS)
    member.now += 0.1
    member.apply(RequestDue(request.request_id))
    assert len(member.effects_of(SendRequest)) == len(SHARDS)


def test_single_attempt_is_not_sent_after_a_loss(member: Dispatcher) -> None:
    """With one attempt a part must not run on a second target. The refusal
    must not say that nothing ran.
    """
    _allow_attempts(member, 1)
    request = member.request()
    member.apply(DelegationFailed(*member.ids_of(request), 'reset', True))
    assert not member.effects_of(SendRequest)
    refused = _only(member.effects_of(DeliverRefusal))
    assert refused.refusal.verdict is Verdict.MAY_HAVE_RUN


def test_both_coordinators_blocked(member: Dispatcher) -> None:
    """Without a coordinator a VM serves its queries itself."""
    for _ in range(2):
        request = member.request()
        member.apply(
            DelegationFailed(*member.ids_of(request), 'connect', False)
        )
    member.effects.clear()
    member.request()
    assert len(member.effects_of(SendRequest)) == len(SHARDS)
    member.now += 1
    member.effects.clear()
    member.request()
    assert _addresses(member) == [_FIRST]


def test_caller_leaves_a_delegated_query(member: Dispatcher) -> None:
    """The coordinator is told by the end of the connection."""
    request = member.request()
    member.apply(CallerLeft(request.request_id))
    cancelled = _only(member.effects_of(CancelDelegation))
    assert cancelled.delegation_id == member.ids_of(request)[1]
    late = DelegationAnswered(*member.ids_of(request), _ANSWER)
    assert not member.apply(late)


def test_late_failure_of_a_query_taken_over(member: Dispatcher) -> None:
    """The end of a cancelled delegation starts no second set of sends."""
    request = member.request()
    member.now += 0.03
    member.apply(RequestDue(request.request_id))
    member.effects.clear()
    late = DelegationFailed(*member.ids_of(request), 'cancelled', True)
    assert not member.apply(late)


@pytest.mark.parametrize('version', [0, 2])
def test_coordinator_with_another_version_declines(
    dispatcher: Dispatcher, version: int
) -> None:
    """Guards against a VM whose callers see a version of the configuration and
    then an older one, because a coordinator is behind or ahead.
    """
    dispatcher.request(delegated=DelegationTerms(version, 0.1))
    declined = _only(dispatcher.effects_of(DeclineDelegation))
    assert declined.reason == 'other_version'
    assert not dispatcher.effects_of(SendRequest)
    assert not dispatcher.state.open_by_id


def test_coordinator_never_delegates_further(member: Dispatcher) -> None:
    """Two VMs that take each other for the coordinator must not loop."""
    member.request(delegated=DelegationTerms(1, 0.1))
    assert not _addresses(member)
    assert len(member.effects_of(SendRequest)) == len(SHARDS)


def test_coordinator_answers_when_its_sender_needs_it(
    dispatcher: Dispatcher,
) -> None:
    """The time until a partial answer is that of the VM with the caller."""
    request = dispatcher.request(delegated=DelegationTerms(1, 0.09))
    open_request = dispatcher.state.open_by_id[request.request_id]
    assert open_request.partial_answer_at == pytest.approx(
        dispatcher.now + 0.09
    )


def test_busy_coordinator_declines(dispatcher: Dispatcher) -> None:
    """A coordinator under heavy load leaves queries to their own VMs."""
    for _ in range(30):
        dispatcher.request(delegated=DelegationTerms(1, 0.1))
    reasons = {one.reason for one in dispatcher.effects_of(DeclineDelegation)}
    assert reasons == {'overloaded'}
    assert len(dispatcher.state.open_by_id) == 24


def test_shares_of_a_bound_add_up(dispatcher: Dispatcher) -> None:
    """Coordinators take most of a bound over all VMs, and the sum stays."""
    state = dispatcher.state
    dispatcher.apply(VmsCounted(65, 22, _CHOICE))
    member_share = 1 / state.bound_divisor
    coordinator = replace(_CHOICE, addresses=(), is_coordinator=True)
    dispatcher.apply(VmsCounted(65, 22, coordinator))
    coordinator_share = 1 / state.bound_divisor
    assert 6 * coordinator_share + 59 * member_share == pytest.approx(1)


_REMOTE = '10.1.0.7:7740'


@pytest.mark.parametrize('is_coordinator', [False, True])
def test_query_without_local_targets_goes_to_another_domain(
    dispatcher: Dispatcher, is_coordinator: bool
) -> None:
    """Guards against a failure domain without shard targets whose VMs send and
    receive every part over the priced links between failure domains.
    """
    local = [] if is_coordinator else [_FIRST]
    choice = CoordinatorChoice(
        tuple(local), (_REMOTE,), is_coordinator, total=6
    )
    dispatcher.apply(VmsCounted(65, 22, choice))
    dispatcher.request()
    assert _addresses(dispatcher) == local
    remaining = {
        name: record
        for name, record in records().items()
        if record.failure_domain != 'north'
    }
    dispatcher.apply(TargetsListed(remaining))
    dispatcher.effects.clear()
    dispatcher.request()
    assert _addresses(dispatcher) == [_REMOTE]
