"""Reducer of the dispatcher: passes each event to its handler."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from nutmegstep.dispatch import (
    account_owners,
    contact,
    control,
    crash_control,
    delegation,
    rollout_control,
)
from nutmegstep.dispatch.account_events import (
    ShareLent,
    SharePolled,
    TokensAsked,
    TokensGranted,
)
from nutmegstep.dispatch.account_limits import check_waiting, handle_grant
from nutmegstep.dispatch.arrivals import handle_arrival
from nutmegstep.dispatch.completion import answer_if_due, close_request
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    ConfigurationRead,
    CrashDeleted,
    CrashesListed,
    CrashStored,
    DomainsWithdrawn,
    HousekeepingDue,
    ProcessResumed,
    StopScheduled,
    StoreRecovered,
    StoreRefreshed,
    StoreRestored,
    TargetAnnounced,
    TargetChecked,
    TargetRemoved,
    TargetsListed,
    TargetsSuspected,
    VmsCounted,
)
from nutmegstep.dispatch.effects import Decision, Effect
from nutmegstep.dispatch.events import (
    CallerLeft,
    DelegationAccepted,
    DelegationAnswered,
    DelegationFailed,
    Event,
    RequestArrived,
    RequestDue,
    SendFailed,
    TargetReplied,
)
from nutmegstep.dispatch.identification import record_read
from nutmegstep.dispatch.outcomes import handle_failure, handle_reply
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.stopping import schedule_stop
from nutmegstep.dispatch.trials import hedge_due_parts, release_parts

__all__ = ['reduce_event']

_Handler = Callable[[DispatchState, Any, float], list[Effect]]


def reduce_event(
    state: DispatchState,
    event: Event,
    now: float,
) -> list[Effect]:
    """Apply an event to the state and return the resulting effects.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher; modified in place.
    event : Event
        Event to apply.
    now : float
        Monotonic time of the event in seconds.

    Returns
    -------
    list of Effect
        Effects in the order in which they must be carried out.
    """
    return _HANDLER_BY_EVENT[type(event)](state, event, now)


def _handle_caller_left(
    state: DispatchState,
    event: CallerLeft,
    now: float,
) -> list[Effect]:
    open_request = state.open_by_id.get(event.request_id)
    if open_request is None:
        return []
    decision = Decision('caller_left', open_request.request.attempt_id, {})
    if not open_request.route.is_idempotent:
        # The target may be running the request; cancelling it could leave the
        # work half done.
        state.open_by_id.pop(event.request_id)
        return [decision]
    return [decision, *close_request(state, open_request)]


def _handle_request_due(
    state: DispatchState,
    event: RequestDue,
    now: float,
) -> list[Effect]:
    open_request = state.open_by_id.get(event.request_id)
    if open_request is None:
        return []
    if open_request.awaits_token_until is not None:
        return check_waiting(state, open_request, now)
    if open_request.delegation is not None:
        return delegation.check_delegation(
            state, open_request, open_request.delegation, now
        )
    released = release_parts(state, open_request, now)
    hedges = hedge_due_parts(state, open_request, now)
    return [*released, *hedges, *answer_if_due(state, open_request, now)]


def _handle_housekeeping(
    state: DispatchState,
    event: HousekeepingDue,
    now: float,
) -> list[Effect]:
    return [
        *control.expire_targets(state, event, now),
        *contact.probe_links(state, event, now),
        *rollout_control.advance_rollouts(state, now),
        *account_owners.poll(state, now),
    ]


_HANDLER_BY_EVENT: Final[Mapping[type, _Handler]] = MappingProxyType(
    {
        RequestArrived: handle_arrival,
        CallerLeft: _handle_caller_left,
        RequestDue: _handle_request_due,
        TargetReplied: handle_reply,
        SendFailed: handle_failure,
        DelegationAccepted: delegation.handle_accepted,
        DelegationAnswered: delegation.handle_delegate_answer,
        DelegationFailed: delegation.handle_delegate_failure,
        ConfigurationChanged: control.apply_configuration,
        ConfigurationRead: record_read,
        TargetsListed: control.replace_targets,
        TargetAnnounced: control.update_target,
        TargetRemoved: control.remove_target,
        DomainsWithdrawn: control.set_withdrawn_domains,
        ProcessResumed: control.await_refresh,
        StopScheduled: schedule_stop,
        StoreRefreshed: control.end_refresh,
        StoreRecovered: control.start_return_grace,
        StoreRestored: control.distrust_copy,
        VmsCounted: control.set_vm_counts,
        TargetsSuspected: control.record_reports,
        HousekeepingDue: _handle_housekeeping,
        TargetChecked: contact.check_contact,
        SharePolled: account_owners.handle_poll,
        ShareLent: account_owners.handle_loan,
        TokensAsked: account_owners.handle_ask,
        TokensGranted: handle_grant,
        CrashesListed: crash_control.record_listed,
        CrashStored: crash_control.record_stored,
        CrashDeleted: crash_control.record_deleted,
        **rollout_control.HANDLER_BY_EVENT,
    },
)
