"""Decides when a request is answered, and with what.

A request that is sent to several shards has one part per shard and is answered

- when all parts have a reply;
- with a partial answer that covers the required number of parts, when the
  target latency of the route is nearly over, or earlier when all missing parts
  have failed or wait for stalled targets;
- with a refusal, as soon as too few parts are left for an answer, or at the
  deadline.

A request to a single service is answered with the signed reply of its target, or
refused when no target is left or at the deadline. Neither a reply without a signature
nor one whose status would promise that nothing has run is passed on; the request may
have run, and its caller is told so.
"""

from collections.abc import Mapping
from datetime import timedelta
from itertools import chain
from typing import Final

from nutmegstep.dispatch.effects import (
    CancelDelegation,
    CancelSend,
    Decision,
    DeliverMerged,
    DeliverRefusal,
    DeliverReply,
    Effect,
    WakeAt,
)
from nutmegstep.dispatch.events import TargetReply
from nutmegstep.dispatch.merging import merge_records
from nutmegstep.dispatch.promises import (
    is_untrue_promise,
    untrue_promise_refusal,
)
from nutmegstep.dispatch.requests import OpenRequest, Part
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = [
    'answer_if_due',
    'close_request',
    'give_up',
    'give_up_at_deadline',
    'give_up_unanswered',
    'refuse_open',
]

_MS_PER_SECOND: Final = 1000
_REFUSAL_RETRY_AFTER: Final = timedelta(milliseconds=50)
"""Time after which callers are asked to retry a request that was given up."""


def answer_if_due(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[Effect]:
    """Answer or refuse a request if it is time to.

    Otherwise return a `WakeAt` effect for the next instant at which a hedge or
    an answer may be due.
    """
    if open_request.route.is_gather:
        answer = _answer_gather(state, open_request, now)
    else:
        answer = _answer_single(state, open_request, now)
    if answer is not None:
        return answer
    instants = [part.hedge_at for part in open_request.parts if part.is_waiting]
    if now < open_request.partial_answer_at:
        instants.append(open_request.partial_answer_at)
    instants.append(open_request.deadline)
    return [WakeAt(open_request.request.request_id, min(instants))]


def close_request(
    state: DispatchState,
    open_request: OpenRequest,
) -> list[Effect]:
    """Remove a request and cancel its pending sends or its delegation."""
    request_id = open_request.request.request_id
    state.open_by_id.pop(request_id, None)
    send_ids = chain.from_iterable(
        part.pending_sends for part in open_request.parts
    )
    cancelled: list[Effect] = [CancelSend(send_id) for send_id in send_ids]
    if open_request.delegation is not None:
        cancelled.append(
            CancelDelegation(open_request.delegation.delegation_id)
        )
    return cancelled


def give_up(
    state: DispatchState,
    open_request: OpenRequest,
    refusal: Refusal,
) -> list[Effect]:
    """Refuse a request whose parts were sent; cancel its pending sends."""
    missing = [
        part.service for part in open_request.parts if part.reply is None
    ]
    inputs = {'verdict': refusal.verdict.value, 'missing': missing}
    return refuse_open(state, open_request, refusal, inputs)


def refuse_open(
    state: DispatchState,
    open_request: OpenRequest,
    refusal: Refusal,
    inputs: Mapping[str, object],
) -> list[Effect]:
    """Refuse an open request, log why, and cancel its pending sends.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher; modified in place.
    open_request : OpenRequest
        Request to refuse.
    refusal : Refusal
        The refusal.
    inputs : Mapping
        Values to be logged beside the reason and the route.
    """
    request = open_request.request
    if refusal.verdict is Verdict.NOT_RUN:
        state.account_limits.return_token(open_request)
    logged = {
        'reason': refusal.reason.value,
        'route': open_request.route.name,
        **inputs,
    }
    return [
        Decision('refused', request.attempt_id, logged),
        *close_request(state, open_request),
        DeliverRefusal(request.request_id, refusal),
    ]


def give_up_at_deadline(
    state: DispatchState,
    open_request: OpenRequest,
) -> list[Effect]:
    """Refuse a request that has no answer at its deadline."""
    refusal = refuse(
        open_request.verdict,
        Reason.DEADLINE_EXCEEDED,
        'no answer within the time allowed',
        retry_after=_REFUSAL_RETRY_AFTER,
    )
    return give_up(state, open_request, refusal)


def give_up_unanswered(
    state: DispatchState,
    open_request: OpenRequest,
) -> list[Effect]:
    """Refuse a request that another VM may have run without an answer."""
    refusal = refuse(
        open_request.verdict,
        Reason.TARGET_FAILED,
        'the VM that served the request has not answered',
        retry_after=_REFUSAL_RETRY_AFTER,
    )
    return give_up(state, open_request, refusal)


def _answer_gather(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[Effect] | None:
    parts = open_request.parts
    answered = [part for part in parts if part.reply is not None]
    required = open_request.required
    if len(answered) == len(parts):
        return _deliver(state, open_request, answered, now)
    failed = sum(part.is_failed and part.reply is None for part in parts)
    if len(parts) - failed < required:
        return give_up(
            state, open_request, _target_failure_refusal(open_request, failed)
        )
    is_late = now >= open_request.partial_answer_at
    can_improve = any(part.is_waiting and not part.is_stalled for part in parts)
    if len(answered) >= required and (is_late or not can_improve):
        return _deliver(state, open_request, answered, now)
    if now >= open_request.deadline:
        return give_up_at_deadline(state, open_request)
    return None


def _answer_single(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[Effect] | None:
    part = open_request.parts[0]
    if part.reply is not None:
        return _pass_on(state, open_request, part.reply, now)
    if now >= open_request.deadline:
        return give_up_at_deadline(state, open_request)
    if not part.is_failed:
        return None
    if part.failure is not None and part.failure.may_be_passed_on:
        return _pass_on(state, open_request, part.failure, now)
    return give_up(
        state, open_request, _target_failure_refusal(open_request, 1)
    )


def _pass_on(
    state: DispatchState,
    open_request: OpenRequest,
    reply: TargetReply,
    now: float,
) -> list[Effect]:
    return [
        _answered_decision(open_request, now, status=reply.status),
        *close_request(state, open_request),
        DeliverReply(
            open_request.request.request_id,
            reply,
            open_request.parts[0].replied_by,
        ),
    ]


def _deliver(
    state: DispatchState,
    open_request: OpenRequest,
    answered: list[Part],
    now: float,
) -> list[Effect]:
    # Pending sends are not cancelled: a late reply shows that the target is
    # responsive again, and its connection can be reused afterwards.
    request = open_request.request
    state.open_by_id.pop(request.request_id, None)
    replies = [part.reply for part in answered if part.reply is not None]
    missing = len(open_request.parts) - len(replies)
    merged = DeliverMerged(
        request.request_id,
        tuple(reply.signature for reply in replies),
        missing,
        merge_records(
            (reply.body for reply in replies),
            open_request.route.top_records,
        ),
    )
    return [_answered_decision(open_request, now, missing=missing), merged]


def _answered_decision(
    open_request: OpenRequest,
    now: float,
    **outcome: int,
) -> Decision:
    arrived = open_request.request.arrived_at
    last = max(open_request.parts, key=lambda part: part.replied_at)
    inputs: dict[str, object] = {
        'route': open_request.route.name,
        'after_ms': round((now - arrived) * _MS_PER_SECOND),
        'sends': sum(len(part.tried_targets) for part in open_request.parts),
        'last_service': last.service,
        'last_ms': round((last.replied_at - arrived) * _MS_PER_SECOND),
        **outcome,
    }
    missing = [part.service for part in open_request.parts if not part.reply]
    if missing:
        inputs['missing_services'] = missing
    return Decision('answered', open_request.request.attempt_id, inputs)


def _target_failure_refusal(open_request: OpenRequest, failed: int) -> Refusal:
    reply = open_request.parts[0].failure
    is_single = not open_request.route.is_gather
    if is_single and reply is not None and is_untrue_promise(reply):
        return untrue_promise_refusal(reply)
    return refuse(
        open_request.verdict,
        Reason.TARGET_FAILED,
        f'{failed} of {len(open_request.parts)} shards cannot answer',
        retry_after=_REFUSAL_RETRY_AFTER,
    )
