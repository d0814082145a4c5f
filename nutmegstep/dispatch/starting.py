"""Sends the parts of a request for the first time, or refuses the request."""

from datetime import timedelta
from itertools import chain
from typing import Final

from nutmegstep.dispatch.completion import answer_if_due, close_request
from nutmegstep.dispatch.effects import Decision, DeliverRefusal, Effect
from nutmegstep.dispatch.requests import OpenRequest
from nutmegstep.dispatch.selection import is_usable
from nutmegstep.dispatch.sending import send_first
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, refuse

__all__ = ['start_sends']

_RETRY_AFTER_SHARE: Final = 1 / 3
"""``Retry-After`` when too few shards have a usable target, as a share of the
time until the request's deadline. Callers do not wait for a longer one."""


def start_sends(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[Effect]:
    """Send each part to a target, or refuse the request.

    It is refused if too few shards have a usable target for an answer.
    """
    if not _can_be_covered(state, open_request, now):
        return _refuse_uncovered(state, open_request, now)
    sends = chain.from_iterable(
        send_first(state, open_request, part, now)
        for part in open_request.parts
    )
    return [*sends, *answer_if_due(state, open_request, now)]


def _can_be_covered(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> bool:
    covered = sum(
        any(
            is_usable(state, target, now)
            for target in state.registry.of_service(part.service)
        )
        for part in open_request.parts
    )
    return covered >= open_request.required


def _refuse_uncovered(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[Effect]:
    request = open_request.request
    left = max(0, open_request.deadline - now)
    refusal = refuse(
        open_request.verdict,
        Reason.NO_TARGET,
        'too few shards have a usable target',
        retry_after=timedelta(seconds=left * _RETRY_AFTER_SHARE),
    )
    inputs = {
        'route': open_request.route.name,
        'reason': refusal.reason.value,
        'host': request.host,
    }
    return [
        Decision('refused', request.attempt_id, inputs),
        *close_request(state, open_request),
        DeliverRefusal(request.request_id, refusal),
    ]
