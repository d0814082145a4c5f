"""Passes requests to other VMs: to coordinators, or to substitutes.

A substitute is any VM that serves the requests of one that reaches no target.
It is asked in the same way as a coordinator, but for requests of all kinds. If
it declines or cannot be reached, nothing has run, and the next one is asked.
"""

from datetime import timedelta
from typing import Final

from nutmegstep.coordinators import DelegationTerms
from nutmegstep.dispatch.completion import refuse_open
from nutmegstep.dispatch.effects import Decision, Delegate, Effect, WakeAt
from nutmegstep.dispatch.requests import Delegation, OpenRequest
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, refuse

__all__ = [
    'forward',
    'forward_unsent',
    'pass_on',
    'record_substitute_answer',
    'refuse_without_contact',
]

_MAX_SUBSTITUTES: Final = 6
"""Most substitutes that are asked for one request."""
_ACCEPT_SECONDS: Final = 0.05
"""Time in which a substitute confirms that it has read a request. It serves the
callers of several VMs then."""
_STATUS_SERVER_ERROR: Final = 500
_USELESS_SECONDS: Final = 1.0
"""Time for which requests that this VM could not send are refused at once after
a substitute could not serve one either."""
_HOP_SECONDS: Final = 0.005
"""Part of the time until a partial answer is due that is reserved for the way
from the substitute to this VM and on."""
_RETRY_AFTER: Final = timedelta(milliseconds=50)
"""Time after which callers are asked to retry when no substitute serves; short,
as another VM is likely to."""


def forward(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Pass a request to a substitute; return no effects without one."""
    request = open_request.request
    if request.delegated is not None:
        return []
    if open_request.substitutes_asked >= _MAX_SUBSTITUTES:
        return []
    substitutes = state.coordinators.substitutes
    health = state.coordinator_health
    address = health.first_usable(substitutes, now)
    if address is None and state.has_lost_targets:
        # A VM that failed may be back, and without it the request is refused.
        address = health.last_resort(substitutes, now)
    if address is None:
        return []
    open_request.substitutes_asked += 1
    accept_by = now + _ACCEPT_SECONDS
    if not open_request.route.is_idempotent:
        # Nobody could send it again if this VM stopped waiting.
        accept_by = open_request.deadline
    return pass_on(state, open_request, Delegation(address, accept_by), now)


def forward_unsent(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Pass a request to a substitute if this VM could not send it.

    No effects are returned if it may have run, if it can still be answered, or
    if it fails for another reason than connections. Another VM may have
    connections to the targets that refuse new ones of this VM.
    """
    if now < state.substitutes_useless_until:
        return []
    parts = open_request.parts
    failed = sum(part.is_failed for part in parts)
    is_unsent = not any(
        part.possible_runs or part.pending_sends or part.failure
        for part in parts
    )
    if not is_unsent or len(parts) - failed >= open_request.required:
        return []
    forwarded = forward(state, open_request, now)
    if forwarded:
        for part in parts:
            part.is_failed = False
    return forwarded


def record_substitute_answer(
    state: DispatchState, open_request: OpenRequest, status: int, now: float
) -> None:
    """Ask no substitute for some time if one serves no better than this VM."""
    was_asked = open_request.substitutes_asked and not state.has_lost_targets
    if was_asked and status >= _STATUS_SERVER_ERROR:
        state.substitutes_useless_until = now + _USELESS_SECONDS


def pass_on(
    state: DispatchState,
    open_request: OpenRequest,
    delegation: Delegation,
    now: float,
    hop_seconds: float = _HOP_SECONDS,
) -> list[Effect]:
    """Pass a request to another VM.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher; it has a configuration.
    open_request : OpenRequest
        Request to pass on.
    delegation : Delegation
        Address of the other VM, and the time of its confirmation.
    now : float
        Monotonic time in seconds.
    hop_seconds : float, optional
        Time that the answer needs from the other VM.
    """
    assert state.configuration is not None
    request = open_request.request
    delegation.delegation_id = state.next_send_id
    state.next_send_id += 1
    open_request.delegation = delegation
    terms = DelegationTerms(
        state.configuration.version,
        max(0, open_request.partial_answer_at - now - hop_seconds),
        max(part.possible_runs for part in open_request.parts),
    )
    inputs = {
        'route': open_request.route.name,
        'coordinator': delegation.address,
    }
    return [
        Decision('delegated', request.attempt_id, inputs),
        Delegate(
            request,
            delegation.delegation_id,
            terms,
            delegation.address,
            open_request.deadline,
            open_request.route.is_idempotent,
        ),
        WakeAt(request.request_id, delegation.accept_by),
    ]


def refuse_without_contact(
    state: DispatchState, open_request: OpenRequest
) -> list[Effect]:
    """Refuse a request because neither targets nor substitutes are reached."""
    refusal = refuse(
        open_request.verdict,
        Reason.NO_TARGET,
        'this VM reaches no target',
        retry_after=_RETRY_AFTER,
    )
    inputs = {'substitutes_asked': open_request.substitutes_asked}
    return refuse_open(state, open_request, refusal, inputs)
