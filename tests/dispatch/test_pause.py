"""A process that was paused and may have missed changes in the store."""

import pytest

from nutmegstep.coordinators import DelegationTerms
from nutmegstep.dispatch.control_events import (
    DomainsWithdrawn,
    ProcessResumed,
    StoreRefreshed,
)
from nutmegstep.dispatch.effects import (
    DeclineDelegation,
    DeliverRefusal,
    SendRequest,
)
from nutmegstep.dispatch.events import RequestDue, SendFailed, SendFailureKind
from nutmegstep.verdict import Verdict
from tests.dispatch.conftest import SHARDS, Dispatcher


def test_new_request_is_refused_until_the_store_is_read(
    dispatcher: Dispatcher,
) -> None:
    """Another VM can serve the caller at once, so it is refused at once."""
    dispatcher.apply(ProcessResumed())
    dispatcher.request()
    refused = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refused.verdict is Verdict.NOT_RUN
    assert refused.retry_after.total_seconds() < 0.1
    assert not dispatcher.effects_of(SendRequest)


def test_missed_withdrawal_binds_the_first_send(
    dispatcher: Dispatcher,
) -> None:
    """Guards against work for a failure domain that was withdrawn while the
    process was paused.
    """
    dispatcher.apply(ProcessResumed())
    dispatcher.apply(DomainsWithdrawn(frozenset(('north',))))
    dispatcher.apply(StoreRefreshed())
    dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    assert len(sends) == len(SHARDS)
    assert all(send.target.failure_domain != 'north' for send in sends)


def test_open_request_is_not_sent_again_before_the_refresh(
    dispatcher: Dispatcher,
) -> None:
    """Hedges and repeats act on the same knowledge as first sends."""
    request = dispatcher.request()
    first = dispatcher.effects_of(SendRequest)
    dispatcher.now += 0.1
    dispatcher.apply(ProcessResumed())
    dispatcher.apply(SendFailed(first[0].send_id, SendFailureKind.RESET))
    dispatcher.apply(RequestDue(request.request_id))
    assert dispatcher.effects_of(SendRequest) == first


def test_delegated_query_is_declined_before_the_refresh(
    dispatcher: Dispatcher,
) -> None:
    """The neighbour that was not paused serves it."""
    dispatcher.apply(ProcessResumed())
    dispatcher.request(delegated=DelegationTerms(1, 0.1))
    assert dispatcher.effects_of(DeclineDelegation)


@pytest.mark.parametrize('seconds', [1.0, 30.0])
def test_unreachable_store_ends_the_wait(
    dispatcher: Dispatcher, seconds: float
) -> None:
    """While the store is away, the VM goes on with what it knows."""
    dispatcher.apply(ProcessResumed())
    dispatcher.now += seconds
    dispatcher.request()
    assert len(dispatcher.effects_of(SendRequest)) == len(SHARDS)
