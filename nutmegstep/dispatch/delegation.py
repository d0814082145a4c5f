"""Delegates idempotent requests to a coordinator of the failure domain.

A request is delegated once, to the first coordinator that is not blocked. If that
fails, this VM sends the parts itself. The coordinator uses the same version of
the configuration or declines, so callers of this VM never see an older one.
"""

from typing import Final

from nutmegstep.dispatch.completion import (
    close_request,
    give_up,
    give_up_at_deadline,
    give_up_unanswered,
)
from nutmegstep.dispatch.contact import suspect_links
from nutmegstep.dispatch.declining import NO_CONTACT
from nutmegstep.dispatch.effects import (
    CancelDelegation,
    Decision,
    DeliverReply,
    Effect,
    WakeAt,
)
from nutmegstep.dispatch.events import (
    DelegationAccepted,
    DelegationAnswered,
    DelegationFailed,
)
from nutmegstep.dispatch.forwarding import (
    forward,
    pass_on,
    record_substitute_answer,
    refuse_without_contact,
)
from nutmegstep.dispatch.promises import (
    is_untrue_promise,
    untrue_promise_refusal,
)
from nutmegstep.dispatch.requests import Delegation, OpenRequest
from nutmegstep.dispatch.starting import start_sends
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.target_notices import record_notices

__all__ = [
    'check_delegation',
    'delegate',
    'handle_accepted',
    'handle_delegate_answer',
    'handle_delegate_failure',
]

_ACCEPT_SECONDS: Final = 0.025
"""Time in which a coordinator confirms that it has read a query; after it the
coordinator counts as failed."""
_HOP_SECONDS: Final = 0.002
"""Part of the time until a partial answer is due that is reserved for the way
from the coordinator to this VM and on."""
_MS_PER_SECOND: Final = 1000
_REMOTE_HOP_SECONDS: Final = 0.005
"""The same from a coordinator of another failure domain."""
_SAMPLED_PARTS: Final = 3
"""Parts of a query whose services are searched for local targets."""
_MAX_BODY_BYTES: Final = 64 * 1024
"""Longest body of a request that is delegated."""


def delegate(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[Effect]:
    """Delegate a new request; return no effects if it cannot be delegated.

    While this VM seems to reach no target, any request is passed to a substitute.
    """
    if state.avoids_links(now):
        return forward(state, open_request, now)
    if not _is_eligible(open_request):
        return []
    is_local = _has_local_targets(state, open_request)
    choice = state.coordinators
    address = state.coordinator_health.first_usable(
        choice.addresses if is_local else choice.remote_addresses, now
    )
    if address is None:
        return []
    accept_by = now + _ACCEPT_SECONDS
    if open_request.deadline <= accept_by:
        return []
    hop = _HOP_SECONDS if is_local else _REMOTE_HOP_SECONDS
    delegation = Delegation(address, accept_by)
    return pass_on(state, open_request, delegation, now, hop)


def _is_eligible(open_request: OpenRequest) -> bool:
    # After a failed delegation nobody knows whether a request has run, so one
    # that must not run twice could not be sent again.
    request = open_request.request
    if request.delegated is not None or not open_request.route.is_idempotent:
        return False
    return len(request.body) <= _MAX_BODY_BYTES


def _has_local_targets(state: DispatchState, open_request: OpenRequest) -> bool:
    # Without local targets, each part would cross to another failure domain.
    return any(
        target.failure_domain == state.own_domain
        for part in open_request.parts[:_SAMPLED_PARTS]
        for target in state.registry.of_service(part.service)
    )


def check_delegation(
    state: DispatchState,
    open_request: OpenRequest,
    delegation: Delegation,
    now: float,
) -> list[Effect]:
    """Leave a coordinator that has not confirmed or not answered in time."""
    due_at = delegation.accept_by
    if delegation.is_accepted:
        due_at = open_request.deadline
    if now < due_at:
        return [WakeAt(open_request.request.request_id, due_at)]
    state.coordinator_health.record_failure(delegation.address, now)
    reason = 'no_answer' if delegation.is_accepted else 'not_accepted'
    return _take_over(state, open_request, now, reason, may_have_run=True)


def handle_accepted(
    state: DispatchState,
    event: DelegationAccepted,
    now: float,
) -> list[Effect]:
    """Wait longer for a coordinator that has read the query."""
    delegated = _find_delegated(state, event)
    if delegated is not None:
        delegated[1].is_accepted = True
    return []


def handle_delegate_answer(
    state: DispatchState,
    event: DelegationAnswered,
    now: float,
) -> list[Effect]:
    """Pass the answer of a coordinator on to the caller.

    A success must bear the signatures of targets. A refusal has none, as it comes
    from the coordinator itself.
    """
    delegated = _find_delegated(state, event)
    if delegated is None:
        return []
    open_request, delegation = delegated
    if event.reply.has_success_status and not event.reply.signature:
        # The coordinator is not to blame for what a target has sent.
        return _take_over(
            state, open_request, now, 'unsigned', may_have_run=True
        )
    state.coordinator_health.record_success(delegation.address)
    record_substitute_answer(state, open_request, event.reply.status, now)
    if event.reply.promises_not_run and not event.reply.signature:
        state.account_limits.return_token(open_request)
    target = state.registry.by_id.get(event.target_id)
    notices: list[Effect] = []
    if target is not None:
        notices = record_notices(state, target, event.reply, now)
    open_request.delegation = None
    if is_untrue_promise(event.reply):
        # Builds before this rule pass such replies of targets on.
        refusal = untrue_promise_refusal(event.reply)
        return [*notices, *give_up(state, open_request, refusal)]
    request = open_request.request
    inputs = {
        'route': open_request.route.name,
        'after_ms': round((now - request.arrived_at) * _MS_PER_SECOND),
        'coordinator': delegation.address,
        'status': event.reply.status,
    }
    return [
        *notices,
        Decision('answered', request.attempt_id, inputs),
        *close_request(state, open_request),
        DeliverReply(request.request_id, event.reply),
    ]


def handle_delegate_failure(
    state: DispatchState,
    event: DelegationFailed,
    now: float,
) -> list[Effect]:
    """Send the parts of a query that its coordinator did not serve."""
    delegated = _find_delegated(state, event)
    if delegated is None:
        return []
    open_request, delegation = delegated
    # Configurations differ between VMs for a short time only.
    if event.reason != 'other_version':
        state.coordinator_health.record_failure(delegation.address, now)
    hints: list[Effect] = []
    if event.reason == NO_CONTACT:
        # What has cut a neighbour off may have cut this VM off too.
        hints = suspect_links(state, now)
    taken_over = _take_over(
        state, open_request, now, event.reason, event.may_have_run
    )
    return [*hints, *taken_over]


def _find_delegated(
    state: DispatchState,
    event: DelegationAccepted | DelegationAnswered | DelegationFailed,
) -> tuple[OpenRequest, Delegation] | None:
    """Return the open request and its delegation that an event is about.

    The end of a delegation that was cancelled is about none: the request has been
    passed to the next VM since.
    """
    open_request = state.open_by_id.get(event.request_id)
    if open_request is None or open_request.delegation is None:
        return None
    delegation = open_request.delegation
    if delegation.delegation_id != event.delegation_id:
        return None
    return open_request, delegation


def _take_over(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
    reason: str,
    may_have_run: bool,
) -> list[Effect]:
    inputs = {'reason': reason, 'may_have_run': may_have_run}
    effects: list[Effect] = [
        Decision('delegation_failed', open_request.request.attempt_id, inputs),
    ]
    if open_request.delegation is not None:
        effects.append(CancelDelegation(open_request.delegation.delegation_id))
    if may_have_run:
        _count_possible_sends(state, open_request, now)
    open_request.delegation = None
    return [*effects, *_serve_otherwise(state, open_request, now, may_have_run)]


def _serve_otherwise(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
    may_have_run: bool,
) -> list[Effect]:
    if now >= open_request.deadline:
        return give_up_at_deadline(state, open_request)
    if may_have_run and not open_request.route.is_idempotent:
        return give_up_unanswered(state, open_request)
    if state.avoids_links(now):
        forwarded = forward(state, open_request, now)
        if forwarded:
            return forwarded
    if state.has_lost_targets:
        return refuse_without_contact(state, open_request)
    return start_sends(state, open_request, now)


def _count_possible_sends(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> None:
    # Without a confirmation the coordinator sees the end of the connection
    # before it could hedge. With one, it may have used all attempts.
    delegation = open_request.delegation
    is_accepted = delegation is not None and delegation.is_accepted
    sends = open_request.route.attempts if is_accepted else 1
    for part in open_request.parts:
        part.possible_runs += sends
        if not is_accepted:
            state.budget_of(part.service).charge(now, state.bound_divisor)
