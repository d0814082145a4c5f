"""Sends the parts of a request for the first time, or refuses the request."""

import math
from datetime import timedelta
from itertools import chain
from typing import Final

from nutmegstep.dispatch.completion import answer_if_due, refuse_open
from nutmegstep.dispatch.crash_control import (
    is_barred,
    is_suspected,
    refuse_crashing,
)
from nutmegstep.dispatch.effects import Effect
from nutmegstep.dispatch.forwarding import forward_unsent
from nutmegstep.dispatch.probes import begin_probe, may_probe
from nutmegstep.dispatch.requests import OpenRequest
from nutmegstep.dispatch.selection import is_usable, seconds_until_usable
from nutmegstep.dispatch.sending import send_first
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.trials import start_trial
from nutmegstep.verdict import Reason, refuse

__all__ = ['start_sends']

_MS_PER_SECOND: Final = 1000
_MILLISECOND: Final = timedelta(milliseconds=1)
_RETRY_AFTER_SHARE: Final = 1 / 3
"""``Retry-After`` when too few shards have a usable target, as a share of the
time until the request's deadline. Callers do not wait for a longer one."""
_RETRY_AFTER_SPREAD: Final = 0.1
"""Share of ``Retry-After`` by which callers return at different moments."""


def start_sends(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[Effect]:
    """Send each part to a target, or refuse the request.

    It is refused if it has crashed too many targets, or if too few shards have
    a usable target for an answer.
    """
    is_probe = is_barred(state, open_request, now)
    if is_probe and not may_probe(state, open_request, now):
        return refuse_crashing(state, open_request, now)
    lacking = _lacking_services(state, open_request, now)
    covered = len(open_request.parts) - len(lacking)
    if covered < open_request.required:
        waits = sorted(
            seconds_until_usable(state, service, now) for service in lacking
        )
        wait = waits[open_request.required - covered - 1]
        forwarded: list[Effect] = []
        if math.isinf(wait):
            forwarded = _forward_unreached(state, open_request, lacking, now)
        return forwarded or _refuse_uncovered(state, open_request, wait, now)
    return [
        *(begin_probe(state, open_request, now) if is_probe else ()),
        *_send_parts(state, open_request, now),
        *answer_if_due(state, open_request, now),
    ]


def _send_parts(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    if len(open_request.parts) > 1 and is_suspected(state, open_request):
        return start_trial(state, open_request, now)
    return list(
        chain.from_iterable(
            send_first(state, open_request, part, now)
            for part in open_request.parts
        )
    )


def _forward_unreached(
    state: DispatchState,
    open_request: OpenRequest,
    lacking: list[str],
    now: float,
) -> list[Effect]:
    """Pass a request to another VM if the lacking targets were not reached."""
    is_unreached = any(
        state.health_of(target).consecutive_failures
        for service in lacking
        for target in state.registry.of_service(service)
    )
    if not is_unreached:
        return []
    for part in open_request.parts:
        part.is_failed = part.service in lacking
    return forward_unsent(state, open_request, now)


def _lacking_services(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[str]:
    """Return the services of the parts that no target can be sent now."""
    return [
        part.service
        for part in open_request.parts
        if not any(
            is_usable(state, target, now)
            for target in state.registry.of_service(part.service)
        )
    ]


def _refuse_uncovered(
    state: DispatchState,
    open_request: OpenRequest,
    wait: float,
    now: float,
) -> list[Effect]:
    """Refuse a request that can be covered after `wait` seconds.

    The wait is infinite if not only limits of targets keep it from being
    covered. A longer one than callers wait for is cut: another VM may have a
    share of the limit left.
    """
    wait *= 1 + _RETRY_AFTER_SPREAD * state.random.random()
    left = max(0, open_request.deadline - now)
    longest = left * _RETRY_AFTER_SHARE
    if math.isfinite(wait):
        reason = Reason.OVERLOADED
        detail = 'the targets accept no more requests now'
    else:
        reason = Reason.NO_TARGET
        detail = 'too few shards have a usable target'
    refusal = refuse(
        open_request.verdict,
        reason,
        detail,
        retry_after=timedelta(
            milliseconds=math.ceil(min(wait, longest) * _MS_PER_SECOND)
        ),
    )
    inputs = {
        'host': open_request.request.host,
        'retry_after_ms': refusal.retry_after // _MILLISECOND,
    }
    return refuse_open(state, open_request, refusal, inputs)
