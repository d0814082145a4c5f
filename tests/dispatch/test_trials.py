"""Sends of requests that may crash their targets, one at a time."""

from nutmegstep.dispatch.content import content_digest
from nutmegstep.dispatch.control_events import (
    CrashRecord,
    CrashStored,
    TargetChecked,
)
from nutmegstep.dispatch.effects import (
    DeleteCrash,
    DeliverMerged,
    DeliverRefusal,
    SendRequest,
)
from nutmegstep.dispatch.events import (
    RequestDue,
    RoutedRequest,
    SendFailed,
    SendFailureKind,
)
from tests.dispatch.conftest import SHARDS, Dispatcher, reply

_PATH = '/sweep/x'
_RECORDS = reply(b'r' * 16)


def _sends(dispatcher: Dispatcher) -> list[SendRequest]:
    return dispatcher.effects_of(SendRequest)


def _suspect(dispatcher: Dispatcher, service: str) -> CrashRecord:
    """Store a crash of the content; return its record."""
    content = content_digest(dispatcher.request(_PATH))
    dispatcher.answer(_sends(dispatcher), _RECORDS)
    record = CrashRecord(content, 'i-1', 1, service)
    dispatcher.apply(CrashStored(record))
    dispatcher.effects.clear()
    return record


def _crash(dispatcher: Dispatcher, send: SendRequest) -> None:
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.NO_RESPONSE))
    target_id = send.target.target_id
    dispatcher.apply(TargetChecked(target_id, is_listening=False))


def _wait(
    dispatcher: Dispatcher, request: RoutedRequest, seconds: float
) -> None:
    """Pass the time in steps of a millisecond."""
    ends = dispatcher.now + seconds
    while dispatcher.now < ends:
        dispatcher.now += 0.001
        dispatcher.apply(RequestDue(request.request_id))


def test_unanswered_query_is_hedged_once_at_a_time(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a query that crashes two targets of each shard before the
    first of them is known to have crashed.
    """
    request = dispatcher.request(_PATH)
    send = dispatcher.state.sends_by_id[_sends(dispatcher)[0].send_id]
    delay = dispatcher.state.latency_of(send.open_request.route).hedge_delay
    _wait(dispatcher, request, delay * 1.5)
    assert len(_sends(dispatcher)) == len(SHARDS) + 1
    dispatcher.answer(_sends(dispatcher)[:1], _RECORDS)
    _wait(dispatcher, request, 0.02)
    assert len(_sends(dispatcher)) > len(SHARDS) + 2


def test_suspected_query_is_sent_to_a_suspected_shard_first(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a query that crashes targets of all shards once more."""
    record = _suspect(dispatcher, 'shard-4')
    request = dispatcher.request(_PATH)
    _wait(dispatcher, request, 0.1)
    assert [one.target.service for one in _sends(dispatcher)] == ['shard-4']
    dispatcher.answer(_sends(dispatcher), _RECORDS)
    assert {one.target.service for one in _sends(dispatcher)} == set(SHARDS)
    dispatcher.answer(_sends(dispatcher)[1:], _RECORDS)
    assert dispatcher.effects_of(DeliverMerged)[0].missing == 0
    assert dispatcher.effects_of(DeleteCrash) == [DeleteCrash(record)]


def test_suspected_query_that_crashes_again_is_refused(
    dispatcher: Dispatcher,
) -> None:
    """Guards against further crashes by a query that has crashed three targets
    in a row.
    """
    _suspect(dispatcher, 'shard-4')
    request = dispatcher.request(_PATH)
    _crash(dispatcher, _sends(dispatcher)[0])
    # Another target shows that the links work.
    dispatcher.apply(TargetChecked('orders-north', is_listening=True))
    _wait(dispatcher, request, 0.1)
    assert len(_sends(dispatcher)) == 2
    _crash(dispatcher, _sends(dispatcher)[1])
    dispatcher.apply(TargetChecked('orders-north', is_listening=True))
    _wait(dispatcher, request, 2)
    assert len(_sends(dispatcher)) == 2
    assert len(dispatcher.effects_of(DeliverRefusal)) == 1


def test_reply_of_another_shard_clears_nothing(dispatcher: Dispatcher) -> None:
    """Guards against a query that goes on crashing the targets of one shard, as
    those of others run it.
    """
    request = dispatcher.request(_PATH)
    record = CrashRecord(content_digest(request), 'i-1', 1, 'shard-4')
    dispatcher.apply(CrashStored(record))
    by_service = {one.target.service: one for one in _sends(dispatcher)}
    suspected = by_service.pop('shard-4')
    dispatcher.answer(by_service.values(), _RECORDS)
    assert not dispatcher.effects_of(DeleteCrash)
    dispatcher.answer([suspected], _RECORDS)
    assert dispatcher.effects_of(DeleteCrash) == [DeleteCrash(record)]


def test_lost_part_is_sent_again_when_another_shard_has_replied(
    dispatcher: Dispatcher,
) -> None:
    """Guards against repeats of a query that may crash its targets, and against
    the loss of a part whose target has crashed for another reason.
    """
    dispatcher.request(_PATH)
    lost, other = _sends(dispatcher)[:2]
    _crash(dispatcher, lost)
    assert len(_sends(dispatcher)) == len(SHARDS)
    dispatcher.answer([other], _RECORDS)
    assert len(_sends(dispatcher)) == len(SHARDS) + 1
    assert _sends(dispatcher)[-1].target.service == lost.target.service


def test_query_whose_check_brings_no_result_is_served(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a query that waits for the check of a target for ever."""
    request = dispatcher.request(_PATH)
    for send in _sends(dispatcher):
        dispatcher.apply(SendFailed(send.send_id, SendFailureKind.NO_RESPONSE))
    assert len(_sends(dispatcher)) == len(SHARDS)
    _wait(dispatcher, request, 0.1)
    assert len(_sends(dispatcher)) == len(SHARDS) + 1
    dispatcher.answer(_sends(dispatcher)[-1:], _RECORDS)
    dispatcher.answer(_sends(dispatcher)[-9:], _RECORDS)
    assert dispatcher.effects_of(DeliverMerged)[0].missing == 0


def test_held_parts_are_not_sent_after_the_deadline(
    dispatcher: Dispatcher,
) -> None:
    """Guards against sends of a process that was paused beyond the deadline."""
    _suspect(dispatcher, 'shard-4')
    request = dispatcher.request(_PATH)
    dispatcher.now += 3
    dispatcher.answer(_sends(dispatcher), _RECORDS)
    dispatcher.apply(RequestDue(request.request_id))
    assert len(_sends(dispatcher)) == 1
    assert len(dispatcher.effects_of(DeliverRefusal)) == 1
