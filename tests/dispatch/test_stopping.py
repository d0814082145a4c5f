"""Planned stop of a VM: each request gets its final answer before the end."""

import pytest

from nutmegstep.dispatch.control_events import StopScheduled
from nutmegstep.dispatch.effects import (
    DeliverRefusal,
    SendRequest,
    WakeAt,
)
from nutmegstep.dispatch.events import RequestDue
from nutmegstep.verdict import Reason, Verdict
from tests.dispatch.conftest import Dispatcher

_PATHS = ('/sweep/x', '/fetch/x', '/order/x')


def _refusals(dispatcher: Dispatcher) -> list[tuple[Reason, Verdict]]:
    return [
        (one.refusal.reason, one.refusal.verdict)
        for one in dispatcher.effects_of(DeliverRefusal)
    ]


@pytest.mark.parametrize('path', _PATHS)
def test_open_request_is_answered_before_the_stop(
    dispatcher: Dispatcher, path: str
) -> None:
    """Guards against a request that is cut without an answer at the stop."""
    request = dispatcher.request(path)
    ends_at = dispatcher.now + 0.5
    dispatcher.apply(StopScheduled(ends_at))
    assert dispatcher.effects_of(WakeAt)[-1].instant == ends_at
    dispatcher.now = ends_at
    dispatcher.apply(RequestDue(request.request_id))
    assert _refusals(dispatcher) == [
        (Reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN)
    ]


@pytest.mark.parametrize('path', _PATHS)
def test_late_request_is_refused_unsent(
    dispatcher: Dispatcher, path: str
) -> None:
    """Guards against a request that is passed on although this VM stops before
    it can be served.
    """
    dispatcher.apply(StopScheduled(dispatcher.now + 0.2))
    dispatcher.request(path)
    assert not dispatcher.effects_of(SendRequest)
    assert _refusals(dispatcher) == [(Reason.DRAINING, Verdict.NOT_RUN)]


@pytest.mark.parametrize('path', _PATHS)
def test_request_that_can_be_served_is_sent(
    dispatcher: Dispatcher, path: str
) -> None:
    """Guards against refusing requests during most of the grace period."""
    dispatcher.apply(StopScheduled(dispatcher.now + 1.5))
    dispatcher.request(path)
    assert dispatcher.effects_of(SendRequest)


def test_request_with_little_time_is_sent(dispatcher: Dispatcher) -> None:
    """Guards against refusing requests whose callers leave before the stop."""
    dispatcher.apply(StopScheduled(dispatcher.now + 0.2))
    dispatcher.request('/order/x', time_left=0.1)
    assert dispatcher.effects_of(SendRequest)
