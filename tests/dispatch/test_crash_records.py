"""Crash records in the store, and what VMs learn from them."""

import pytest

from nutmegstep.dispatch.content import content_digest
from nutmegstep.dispatch.control_events import (
    CrashDeleted,
    CrashesListed,
    CrashRecord,
    CrashStored,
    HousekeepingDue,
    StoreRestored,
)
from nutmegstep.dispatch.crashes import KEEP_SECONDS
from nutmegstep.dispatch.effects import (
    DeleteCrash,
    PublishCrash,
    SendRequest,
)
from tests.dispatch.conftest import Dispatcher
from tests.dispatch.crashing import (
    PATH,
    count_sends,
    crash_thrice,
    lose,
    settle,
)


def test_crashes_are_published_once(dispatcher: Dispatcher) -> None:
    """Guards against VMs that learn of their own crashes only, and against
    repeated writes of the same record.
    """
    content = crash_thrice(dispatcher)
    settle(dispatcher)
    published = [one.record for one in dispatcher.effects_of(PublishCrash)]
    assert len(published) == len(set(published)) == 3
    assert {one.content for one in published} == {content}


def test_crashes_of_other_vms_count(dispatcher: Dispatcher) -> None:
    """Guards against a request that each VM sends until it has seen three
    crashes itself.
    """
    content = content_digest(lose(dispatcher))
    settle(dispatcher)
    dispatcher.apply(CrashStored(CrashRecord(content, 'i-1')))
    dispatcher.apply(CrashesListed(frozenset((CrashRecord(content, 'i-2'),))))
    dispatcher.apply(CrashStored(CrashRecord(content, 'i-1')))
    sent = count_sends(dispatcher)
    dispatcher.request(PATH)
    assert count_sends(dispatcher) == sent


def test_success_clears_the_records_of_other_vms(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a request that other VMs go on suspecting although it has
    run here.
    """
    request = dispatcher.request(PATH)
    record = CrashRecord(content_digest(request), 'i-1')
    dispatcher.apply(CrashStored(record))
    dispatcher.answer(dispatcher.effects_of(SendRequest))
    assert dispatcher.effects_of(DeleteCrash) == [DeleteCrash(record)]


def test_request_that_runs_at_once_is_not_published(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a write to the store for each request that was lost with
    its target and then repeated.
    """
    lose(dispatcher)
    dispatcher.request(PATH)
    dispatcher.answer(dispatcher.effects_of(SendRequest)[-1:])
    settle(dispatcher)
    assert not dispatcher.effects_of(PublishCrash)


@pytest.mark.parametrize('by_store', [False, True])
def test_crashes_are_forgotten(dispatcher: Dispatcher, by_store: bool) -> None:
    """Guards against requests that are refused for ever."""
    crash_thrice(dispatcher)
    published = [one.record for one in dispatcher.effects_of(PublishCrash)]
    for record in published:
        dispatcher.apply(CrashStored(record))
    if by_store:
        dispatcher.apply(CrashDeleted(published[0]))
        dispatcher.apply(CrashesListed(frozenset()))
    else:
        dispatcher.now += KEEP_SECONDS * 1.1
        settle(dispatcher)
        deleted = [one.record for one in dispatcher.effects_of(DeleteCrash)]
        assert set(deleted) == set(published)
    sent = count_sends(dispatcher)
    dispatcher.request(PATH)
    assert count_sends(dispatcher) == sent + 1


def _restore(dispatcher: Dispatcher, *listed: CrashRecord) -> None:
    """Restore the store from a copy that holds the given records."""
    dispatcher.apply(StoreRestored())
    dispatcher.apply(CrashesListed(frozenset(listed)))
    dispatcher.effects.clear()


def test_records_that_a_restored_store_lacks_are_published_again(
    dispatcher: Dispatcher,
) -> None:
    """Guards against crashes that VMs forget, and that a restarted VM never
    learns of, when the store is restored from a copy without their records.
    """
    stored = [CrashRecord('c', f'i-{number}') for number in range(3)]
    dispatcher.apply(CrashesListed(frozenset(stored)))
    _restore(dispatcher)
    assert dispatcher.state.crashes.find('c').is_restricted(dispatcher.now)
    # Another VM has written one of them meanwhile.
    dispatcher.apply(CrashStored(stored[0]))
    dispatcher.now += 5
    dispatcher.apply(HousekeepingDue())
    published = {one.record for one in dispatcher.effects_of(PublishCrash)}
    assert published == set(stored[1:])
    dispatcher.apply(HousekeepingDue())
    assert len(dispatcher.effects_of(PublishCrash)) == 2


def test_records_that_return_with_a_copy_are_deleted_again(
    dispatcher: Dispatcher,
) -> None:
    """Guards against content that is refused by mistake for half an hour: it has
    run since, but the restored store holds its records again.
    """
    stored = [CrashRecord('c', f'i-{number}') for number in range(3)]
    dispatcher.apply(CrashesListed(frozenset(stored)))
    for record in stored:
        dispatcher.apply(CrashDeleted(record))
    _restore(dispatcher, *stored)
    known = dispatcher.state.crashes.find('c')
    assert not known.is_refused
    assert not known.is_restricted(dispatcher.now)
    dispatcher.apply(CrashDeleted(stored[0]))
    dispatcher.now += 5
    dispatcher.apply(HousekeepingDue())
    deleted = {one.record for one in dispatcher.effects_of(DeleteCrash)}
    assert deleted == set(stored[1:])
