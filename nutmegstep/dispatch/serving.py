"""Serves a request that was let in: delegates, sends or refuses it."""

from nutmegstep.dispatch.crash_control import is_refused, refuse_crashing
from nutmegstep.dispatch.delegation import delegate
from nutmegstep.dispatch.effects import DeclineDelegation, Effect
from nutmegstep.dispatch.forwarding import refuse_without_contact
from nutmegstep.dispatch.requests import OpenRequest
from nutmegstep.dispatch.starting import start_sends
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.stopping import has_time_left, refuse_stopping

__all__ = ['serve']


def serve(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Delegate an open request, send it to targets, or refuse it."""
    if is_refused(state, open_request):
        return refuse_crashing(state, open_request, now)
    if not has_time_left(state, open_request, now):
        return _turn_away_stopping(state, open_request)
    delegation = delegate(state, open_request, now)
    if delegation:
        return delegation
    if state.has_lost_targets and state.coordinators.substitutes:
        return refuse_without_contact(state, open_request)
    return start_sends(state, open_request, now)


def _turn_away_stopping(
    state: DispatchState, open_request: OpenRequest
) -> list[Effect]:
    request = open_request.request
    if request.delegated is None:
        return refuse_stopping(state, open_request)
    # Its sender may know a VM that goes on.
    state.open_by_id.pop(request.request_id)
    return [DeclineDelegation(request.request_id, 'stopping')]
