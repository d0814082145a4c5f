"""Sends requests to targets: first sends, repeats and hedges.

A repeat is a retry at another target after a failure; a hedge is a second send
while the first target has not answered.
"""

import math
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.crash_control import is_barred
from nutmegstep.dispatch.effects import Decision, Effect, SendRequest
from nutmegstep.dispatch.probes import watch_bystanders
from nutmegstep.dispatch.requests import OpenRequest, Part, Send
from nutmegstep.dispatch.selection import (
    Choice,
    choose_target,
    spend_cold_token,
)
from nutmegstep.dispatch.state import DispatchState

__all__ = ['connection_limit', 'hedge', 'repeat', 'send_first']

_SHARD_TIMEOUT_LATENCIES: Final = 3.0
"""Target latencies of the route after which a send to a shard expires."""
_STALL_HEDGE_DELAYS: Final = 1.25
"""Hedge delays without a reply after which a target counts as stalled."""
_OPTIONAL_HEDGE_RESERVE: Final = 0.5
"""Share of the budget's capacity that a hedge must leave if the request can be
answered without its part; kept for repeats and for hedges of required parts."""
_BUDGET_RETRY_SECONDS: Final = 0.03
"""Time after which a hedge that the budget did not allow is tried again."""
_CONNECTION_SHARE: Final = 0.8
"""Share of a target's allowed connections that all VMs together use."""
_OWN_DOMAIN_SHARE: Final = 0.6
"""Share of the connections in use at a target that is for the VMs of its own
failure domain."""


def send_first(
    state: DispatchState,
    open_request: OpenRequest,
    part: Part,
    now: float,
) -> list[Effect]:
    """Send a part to the best target, or mark the part as failed."""
    state.record_request(part.service, now)
    state.budget_of(part.service).earn(now, state.bound_divisor)
    if part.possible_runs >= open_request.route.attempts:
        # A coordinator may have sent it before it failed.
        part.is_failed = True
        return []
    choice = choose_target(state, part.service, now)
    if choice is None:
        part.is_failed = True
        return []
    return [
        _send(state, open_request, part, choice, now),
        *watch_bystanders(state, open_request, choice.target),
    ]


def repeat(
    state: DispatchState,
    open_request: OpenRequest,
    part: Part,
    now: float,
) -> list[Effect]:
    """Send a part to another target after a failure.

    If there is none or the budget is spent, the part is marked as failed,
    unless another of its sends is pending.
    """
    if now >= open_request.deadline:
        part.is_failed = not part.pending_sends
        return [_decision(open_request, part, 'repeat_omitted', 'too_late')]
    choice = _choose_other(state, open_request, part, now)
    if choice is None:
        part.is_failed = not part.pending_sends
        return [_decision(open_request, part, 'repeat_omitted', 'no_target')]
    if not state.budget_of(part.service).spend(now, state.bound_divisor):
        part.is_failed = not part.pending_sends
        return [_decision(open_request, part, 'repeat_omitted', 'no_budget')]
    return [
        _decision(open_request, part, 'repeat', choice.target.target_id),
        _send(state, open_request, part, choice, now),
    ]


def hedge(
    state: DispatchState,
    open_request: OpenRequest,
    part: Part,
    now: float,
) -> list[Effect]:
    """Send a part to another target while the first one has not answered.

    If the budget is spent, the hedge is tried again a little later.
    """
    part.hedge_at = math.inf
    choice = _choose_other(state, open_request, part, now)
    if choice is None or choice.is_stalled:
        return [_decision(open_request, part, 'hedge_omitted', 'no_target')]
    budget = state.budget_of(part.service)
    waiting = sum(one.reply is None for one in open_request.parts)
    optional = len(open_request.parts) - open_request.required
    reserve = _OPTIONAL_HEDGE_RESERVE if waiting <= optional else 0
    if not budget.spend(now, state.bound_divisor, reserve):
        part.hedge_at = now + _BUDGET_RETRY_SECONDS
        return [_decision(open_request, part, 'hedge_delayed', 'no_budget')]
    return [
        _decision(open_request, part, 'hedge', choice.target.target_id),
        _send(state, open_request, part, choice, now),
    ]


def _choose_other(
    state: DispatchState,
    open_request: OpenRequest,
    part: Part,
    now: float,
) -> Choice | None:
    if part.possible_runs >= open_request.route.attempts:
        return None
    if is_barred(state, open_request, now):
        return None
    return choose_target(state, part.service, now, part.tried_targets)


def _send(
    state: DispatchState,
    open_request: OpenRequest,
    part: Part,
    choice: Choice,
    now: float,
) -> SendRequest:
    target = choice.target
    route = open_request.route
    send_id = state.next_send_id
    state.next_send_id += 1
    delay = state.latency_of(route).hedge_delay
    state.sends_by_id[send_id] = Send(open_request, part, target, now)
    health = state.health_of(target)
    health.set_request_interval(state.request_interval_of(part.service))
    health.stall_at_by_send[send_id] = now + delay * _STALL_HEDGE_DELAYS
    spend_cold_token(state, target, now)
    state.request_limits.record_send(target)
    state.rollouts.record_send(target, is_first=not part.tried_targets)
    has_responsive_send = bool(part.pending_sends) and not part.is_stalled
    part.is_stalled = choice.is_stalled and not has_responsive_send
    part.pending_sends.add(send_id)
    part.tried_targets.add(target.target_id)
    part.possible_runs += 1
    part.hedge_at = now + delay if route.is_idempotent else math.inf
    expires_at = open_request.deadline
    if route.is_gather:
        shard_timeout = (
            route.target_latency.total_seconds() * _SHARD_TIMEOUT_LATENCIES
        )
        expires_at = min(expires_at, now + shard_timeout)
    return SendRequest(
        send_id,
        open_request.request,
        target,
        expires_at,
        connection_limit(state, target),
        route.is_idempotent,
    )


def connection_limit(state: DispatchState, target: TargetRecord) -> int:
    """Return how many connections this VM may open to a target.

    The VMs of the target's failure domain send it most of its requests and
    share most of its connections. Each of them may open at least two, so that
    a request need not wait for the end of another one. Each VM of another
    failure domain may open at least one.
    """
    declared = state.spec_of(target.service).max_connections * _CONNECTION_SHARE
    if target.failure_domain == state.own_domain:
        share = declared * _OWN_DOMAIN_SHARE / state.vms_in_domain
        return max(2, int(share * _sender_factor(state)))
    others = max(1, state.vm_count - state.vms_in_domain)
    share = declared * (1 - _OWN_DOMAIN_SHARE) / others
    return max(1, int(share * _sender_factor(state)))


def _sender_factor(state: DispatchState) -> float:
    """Return the share of this VM relative to that of an average one."""
    return state.vm_count / state.bound_divisor


def _decision(
    open_request: OpenRequest,
    part: Part,
    name: str,
    detail: str,
) -> Decision:
    return Decision(
        name,
        open_request.request.attempt_id,
        {
            'service': part.service,
            'detail': detail,
            'sends': part.possible_runs,
        },
    )
