"""The reducer of routed requests: one function over all events."""

from collections.abc import Callable, Mapping
from itertools import chain
from types import MappingProxyType
from typing import Any, Final

from nutmegstep.dispatch import control
from nutmegstep.dispatch.answering import take_failure, take_reply
from nutmegstep.dispatch.arriving import arrive
from nutmegstep.dispatch.effects import Decision, Effect
from nutmegstep.dispatch.events import (
    CallerLeft,
    ConfigurationChanged,
    DomainsWithdrawn,
    Event,
    HousekeepingDue,
    RequestArrived,
    RequestDue,
    SendFailed,
    StoreRecovered,
    TargetAnnounced,
    TargetRemoved,
    TargetReplied,
    TargetsListed,
    TargetsSuspected,
    VmsCounted,
)
from nutmegstep.dispatch.finishing import close_request, settle
from nutmegstep.dispatch.sending import hedge
from nutmegstep.dispatch.state import DispatchState

__all__ = ['reduce_event']

_Handler = Callable[[DispatchState, Any, float], list[Effect]]


def reduce_event(
    state: DispatchState,
    event: Event,
    now: float,
) -> list[Effect]:
    """Apply an event and return what has to be done.

    Parameters
    ----------
    state : DispatchState
        Changed in place.
    event : Event
        What happened.
    now : float
        Monotonic instant of the event.

    Returns
    -------
    list of Effect
        To be carried out in order.
    """
    return _HANDLER_BY_EVENT[type(event)](state, event, now)


def _leave(
    state: DispatchState,
    event: CallerLeft,
    now: float,
) -> list[Effect]:
    open_request = state.open_by_id.get(event.request_id)
    if open_request is None:
        return []
    note = Decision('caller_left', open_request.request.attempt_id, {})
    if not open_request.route.is_idempotent:
        # The work may be done already; the target is left to finish it.
        state.open_by_id.pop(event.request_id)
        return [note]
    return [note, *close_request(state, open_request)]


def _wake(
    state: DispatchState,
    event: RequestDue,
    now: float,
) -> list[Effect]:
    open_request = state.open_by_id.get(event.request_id)
    if open_request is None:
        return []
    # A VM that was frozen wakes after the deadline; nothing is sent then.
    due = (
        part
        for part in open_request.parts
        if part.is_waiting and part.hedge_at <= now < open_request.deadline
    )
    hedges = chain.from_iterable(
        hedge(state, open_request, part, now) for part in due
    )
    return [*hedges, *settle(state, open_request, now)]


_HANDLER_BY_EVENT: Final[Mapping[type, _Handler]] = MappingProxyType(
    {
        RequestArrived: arrive,
        CallerLeft: _leave,
        RequestDue: _wake,
        TargetReplied: take_reply,
        SendFailed: take_failure,
        ConfigurationChanged: control.change_configuration,
        TargetsListed: control.list_targets,
        TargetAnnounced: control.announce_target,
        TargetRemoved: control.discard_target,
        DomainsWithdrawn: control.withdraw_domains,
        StoreRecovered: control.regain_store,
        VmsCounted: control.count_vms,
        TargetsSuspected: control.suspect_targets,
        HousekeepingDue: control.keep_house,
    },
)
