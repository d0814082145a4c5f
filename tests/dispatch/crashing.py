"""Requests that crash targets, for tests of what is made of it."""

from dataclasses import replace

from nutmegstep.coordinators import DelegationTerms
from nutmegstep.dispatch.content import content_digest
from nutmegstep.dispatch.control_events import (
    HousekeepingDue,
    TargetChecked,
    TargetsListed,
)
from nutmegstep.dispatch.effects import (
    CheckTarget,
    SendRequest,
)
from nutmegstep.dispatch.events import (
    RoutedRequest,
    SendFailed,
    SendFailureKind,
)
from tests.dispatch.conftest import HOST, Dispatcher, records

__all__ = [
    'PATH',
    'accept_connections',
    'count_sends',
    'crash_thrice',
    'list_one_target',
    'lose',
    'make_request',
    'settle',
]

_SETTLED_SECONDS = 0.5
PATH = '/order/x'


def lose(
    dispatcher: Dispatcher, *, is_listening: bool = False, path: str = PATH
) -> RoutedRequest:
    """Send a request whose targets close the connection."""
    request = dispatcher.request(path)
    sends = [
        one
        for one in dispatcher.effects_of(SendRequest)
        if one.request is request
    ]
    for send in sends:
        dispatcher.apply(SendFailed(send.send_id, SendFailureKind.NO_RESPONSE))
        target_id = send.target.target_id
        dispatcher.apply(TargetChecked(target_id, is_listening))
    return request


def make_request(request_id: int, path: str, now: float) -> RoutedRequest:
    """Return a request that a VM serves itself, coordinator or not."""
    return RoutedRequest(
        request_id,
        f'attempt-{now}',
        b'POST',
        path.encode(),
        HOST,
        path,
        (),
        b'body',
        2.0,
        now,
        delegated=DelegationTerms(1, 1),
    )


def list_one_target(dispatcher: Dispatcher, started_ms: int) -> None:
    """Leave one target for orders, started at some time."""
    known = records()['orders-north']
    started = replace(known, started_ms=started_ms)
    dispatcher.apply(TargetsListed({started.target_id: started}))


def settle(dispatcher: Dispatcher) -> None:
    accept_connections(dispatcher)
    dispatcher.now += _SETTLED_SECONDS
    dispatcher.apply(HousekeepingDue())


def accept_connections(dispatcher: Dispatcher) -> None:
    """Let the targets accept connections that have not been sent a request.

    The VM tests its links after several losses in a row.
    """
    sent_to = {
        one.target.target_id for one in dispatcher.effects_of(SendRequest)
    }
    for check in dispatcher.effects_of(CheckTarget):
        target_id = check.target.target_id
        if target_id not in sent_to:
            dispatcher.apply(TargetChecked(target_id, is_listening=True))


def crash_thrice(dispatcher: Dispatcher) -> str:
    """Let a request crash three targets; return its digest."""
    for _ in range(3):
        request = lose(dispatcher)
        settle(dispatcher)
    return content_digest(request)


def count_sends(dispatcher: Dispatcher) -> int:
    return len(dispatcher.effects_of(SendRequest))
