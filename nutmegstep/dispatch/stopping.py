"""Planned stop of this VM: each request gets its final answer before the end."""

from datetime import timedelta
from typing import Final

from nutmegstep.dispatch.completion import refuse_open
from nutmegstep.dispatch.control_events import StopScheduled
from nutmegstep.dispatch.effects import Decision, Effect, WakeAt
from nutmegstep.dispatch.requests import OpenRequest
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, refuse

__all__ = ['has_time_left', 'refuse_stopping', 'schedule_stop']

_NEEDED_LATENCIES: Final = 2.0
"""Target latencies of its route that are left for a request that is sent. Another
VM serves it better than one that would have to give it up."""
_RETRY_AFTER: Final = timedelta(milliseconds=30)
"""Time after which a caller is asked to retry; short, as another VM serves the
request."""


def schedule_stop(
    state: DispatchState, event: StopScheduled, now: float
) -> list[Effect]:
    """Answer all requests by the end of the process."""
    state.stops_at = event.ends_at
    shortened = [
        one
        for one in state.open_by_id.values()
        if one.deadline > state.stops_at
    ]
    for open_request in shortened:
        open_request.deadline = state.stops_at
    inputs = {
        'seconds_left': round(event.ends_at - now, 2),
        'open_requests': len(state.open_by_id),
    }
    return [
        Decision('stop_scheduled', '', inputs),
        *(WakeAt(one.request.request_id, state.stops_at) for one in shortened),
    ]


def has_time_left(
    state: DispatchState, open_request: OpenRequest, now: float
) -> bool:
    """Return whether a request can be served before this VM stops."""
    if open_request.deadline < state.stops_at:
        return True
    needed = open_request.route.target_latency * _NEEDED_LATENCIES
    return now + needed.total_seconds() <= state.stops_at


def refuse_stopping(
    state: DispatchState, open_request: OpenRequest
) -> list[Effect]:
    """Refuse a request that would have to be given up at the stop."""
    refusal = refuse(
        open_request.verdict,
        Reason.DRAINING,
        'this VM is about to stop',
        retry_after=_RETRY_AFTER,
    )
    return refuse_open(state, open_request, refusal, {})
