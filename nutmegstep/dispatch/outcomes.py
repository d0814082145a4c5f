"""Handles the outcome of a send: a reply of the target or a failure."""

from dataclasses import replace
from typing import Final

from nutmegstep.dispatch.completion import answer_if_due
from nutmegstep.dispatch.contact import record_contact, record_no_contact
from nutmegstep.dispatch.crash_control import record_loss, record_success
from nutmegstep.dispatch.effects import Decision, Effect
from nutmegstep.dispatch.events import (
    SendFailed,
    SendFailureKind,
    TargetReplied,
    TargetReply,
)
from nutmegstep.dispatch.forwarding import forward_unsent
from nutmegstep.dispatch.merging import shorten_part
from nutmegstep.dispatch.pacing import (
    record_paced_answer,
    record_paced_failure,
)
from nutmegstep.dispatch.reporting import report_target
from nutmegstep.dispatch.requests import OpenRequest, Send
from nutmegstep.dispatch.rollout_outcomes import (
    record_failed_send,
    record_replied_send,
)
from nutmegstep.dispatch.sending import repeat
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.target_notices import record_notices
from nutmegstep.dispatch.trials import release_parts

__all__ = ['handle_failure', 'handle_reply']

_NOT_CAUSED_BY_TARGET: Final = frozenset(
    (SendFailureKind.CANCELLED, SendFailureKind.NOT_WRITTEN)
)
_SLOW_SECONDS: Final = 0.18
"""Smallest latency of a reply that is reported to the neighbours, the other VMs
of the failure domain. A healthy target pauses for up to 150 ms; the rest is the
time that it usually works on a request."""
_SLOW_MEDIANS: Final = 4.0
"""Smallest latency of a reply that is reported, as a multiple of the route's
median latency; keeps targets of slow routes from being reported for their usual
work."""
_MISDIRECTED_BLOCK_SECONDS: Final = 3.0
"""Time for which nothing is sent to an address at which another target
answered; the list of targets is corrected within this time."""


def handle_reply(
    state: DispatchState,
    event: TargetReplied,
    now: float,
) -> list[Effect]:
    """Record a reply and take it as the answer of its part.

    A reply that is not usable leads to a repeat at another target, unless the
    request is not idempotent and may have run.
    """
    send = _remove_send(state, event.send_id)
    if send is None:
        return []
    reply = event.reply
    reports = _record_reply(state, send, reply, now)
    if not reply.was_executed:
        send.part.possible_runs -= 1
    if send.part.reply is not None or not _is_open(state, send):
        return reports
    send.part.replied_by = send.target.target_id
    if reply.is_success:
        send.part.reply = _shorten(send.open_request, reply)
        send.part.replied_at = now
        send.open_request.answered += 1
        # Below the required number of answers nothing can be delivered. The
        # check of all parts is skipped, as its cost for a query over many
        # shards would grow with the square of their number.
        released = release_parts(state, send.open_request, now)
        if send.open_request.answered < send.open_request.required:
            return [*reports, *released]
        return [
            *reports,
            *released,
            *answer_if_due(state, send.open_request, now),
        ]
    send.part.failure = reply
    decision = Decision(
        'target_rejected',
        send.open_request.request.attempt_id,
        {
            'target': send.target.target_id,
            'status': reply.status,
            'executed': reply.was_executed,
            'signed': bool(reply.signature),
        },
    )
    may_repeat = send.open_request.route.is_idempotent or not reply.was_executed
    return [*reports, decision, *_repeat_or_fail(state, send, may_repeat, now)]


def handle_failure(
    state: DispatchState,
    event: SendFailed,
    now: float,
) -> list[Effect]:
    """Record a send that ended without a reply and repeat it if allowed.

    A request that is not idempotent is repeated only if it did not run.
    """
    send = _remove_send(state, event.send_id)
    if send is None:
        return []
    reports = _record_failure(state, send, event, now)
    if not event.kind.may_have_run:
        send.part.possible_runs -= 1
    if send.part.reply is not None or not _is_open(state, send):
        return reports
    decision = _failure_decision(send, event.kind, now)
    may_repeat = (
        send.open_request.route.is_idempotent or not event.kind.may_have_run
    )
    if may_repeat and event.kind is SendFailureKind.NO_RESPONSE:
        send.open_request.held_parts.append(send.part)
        return [*reports, decision, *_continue(state, send, now)]
    return [*reports, decision, *_repeat_or_fail(state, send, may_repeat, now)]


def _shorten(open_request: OpenRequest, reply: TargetReply) -> TargetReply:
    if not open_request.route.is_gather:
        return reply
    body = shorten_part(reply.body, open_request.route.top_records)
    return reply if body is reply.body else replace(reply, body=body)


def _failure_decision(
    send: Send, kind: SendFailureKind, now: float
) -> Decision:
    request = send.open_request.request
    inputs: dict[str, object] = {
        'target': send.target.target_id,
        'kind': kind.value,
        'after_ms': round((now - send.sent_at) * 1000),
    }
    if kind is SendFailureKind.NO_RESPONSE:
        inputs['content'] = send.open_request.content
    return Decision('send_failed', request.attempt_id, inputs)


def _repeat_or_fail(
    state: DispatchState,
    send: Send,
    may_repeat: bool,
    now: float,
) -> list[Effect]:
    effects: list[Effect] = []
    if may_repeat:
        effects.extend(repeat(state, send.open_request, send.part, now))
    else:
        send.part.is_failed = not send.part.pending_sends
    return [*effects, *_continue(state, send, now)]


def _continue(state: DispatchState, send: Send, now: float) -> list[Effect]:
    released = release_parts(state, send.open_request, now)
    forwarded = forward_unsent(state, send.open_request, now)
    return [
        *released,
        *(forwarded or answer_if_due(state, send.open_request, now)),
    ]


def _remove_send(state: DispatchState, send_id: int) -> Send | None:
    send = state.sends_by_id.pop(send_id, None)
    if send is None:
        return None
    send.part.pending_sends.discard(send_id)
    health = state.health_by_target.get(send.target.target_id)
    if health is not None:
        health.stall_at_by_send.pop(send_id, None)
    return send


def _record_reply(
    state: DispatchState,
    send: Send,
    reply: TargetReply,
    now: float,
) -> list[Effect]:
    health = state.health_of(send.target)
    effects = record_contact(state, send.target, now)
    effects.extend(record_replied_send(state, send, reply, now))
    if reply.is_misdirected:
        health.record_rejection(now)
        health.blocked_until = now + _MISDIRECTED_BLOCK_SECONDS
        return effects
    effects.extend(record_notices(state, send.target, reply, now))
    if reply.is_success:
        return [*effects, *_record_success(state, send, now)]
    effects.extend(record_paced_failure(state, send.target, now))
    health.record_rejection(now)
    return effects


def _record_success(
    state: DispatchState, send: Send, now: float
) -> list[Effect]:
    latency = state.latency_of(send.open_request.route)
    seconds = now - send.sent_at
    ratio = seconds / latency.median
    effects = record_paced_answer(state, send.target, ratio, now)
    state.health_of(send.target).record_reply(ratio, now)
    latency.observe(seconds)
    effects.extend(record_success(state, send, now))
    if seconds >= _SLOW_SECONDS and ratio >= _SLOW_MEDIANS:
        effects.extend(report_target(state, send.target, now))
    return effects


def _record_failure(
    state: DispatchState,
    send: Send,
    event: SendFailed,
    now: float,
) -> list[Effect]:
    evidence = record_failed_send(state, send, event.kind, now)
    if event.kind in _NOT_CAUSED_BY_TARGET:
        return evidence
    paced = record_paced_failure(state, send.target, now)
    state.health_of(send.target).record_no_reply(now)
    lost = record_no_contact(state, send.target, now)
    effects = [*evidence, *paced, *lost]
    if not state.has_lost_targets:
        effects.extend(report_target(state, send.target, now))
    if event.kind is SendFailureKind.NO_RESPONSE:
        effects.extend(record_loss(state, send, event.send_id, now))
    return effects


def _is_open(state: DispatchState, send: Send) -> bool:
    return send.open_request.request.request_id in state.open_by_id
