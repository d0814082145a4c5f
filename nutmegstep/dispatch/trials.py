"""Sends of requests that may crash their targets.

Such a request is sent to one target at a time. If that one replies, the request
is harmless, and its other parts follow at once. If it crashes as well, further
targets have been spared.
"""

from itertools import chain
from typing import Final

from nutmegstep.dispatch.crash_control import (
    is_barred,
    is_being_checked,
    is_suspected,
)
from nutmegstep.dispatch.effects import Effect
from nutmegstep.dispatch.requests import OpenRequest, Part
from nutmegstep.dispatch.selection import is_usable
from nutmegstep.dispatch.sending import hedge, repeat, send_first
from nutmegstep.dispatch.state import DispatchState

__all__ = ['hedge_due_parts', 'release_parts', 'start_trial']

_POLL_SECONDS: Final = 0.01
"""Time after which a send is considered again that had to wait for the outcome of
others."""


def start_trial(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Send one part of a suspected request."""
    open_request.held_parts = list(open_request.parts)
    return release_parts(state, open_request, now)


def release_parts(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Send the held parts of a request if it has been answered, or one of them
    if nothing is pending.

    Parts that stay held are considered again when they are due.
    """
    held = open_request.held_parts
    if not held:
        return []
    if is_barred(state, open_request, now):
        for refused in held:
            refused.is_failed = True
        held.clear()
    effects: list[Effect] = []
    while held and _may_send(state, open_request, now):
        part = held.pop(_choose_index(state, open_request, now))
        send = repeat if part.tried_targets else send_first
        effects.extend(send(state, open_request, part, now))
    for waiting in held:
        waiting.hedge_at = now + _POLL_SECONDS
    return effects


def _may_send(
    state: DispatchState, open_request: OpenRequest, now: float
) -> bool:
    # A process that was paused can get here after the deadline.
    if now >= open_request.deadline:
        return False
    if open_request.answered:
        return True
    if open_request.has_pending_sends or not open_request.can_be_answered:
        return False
    if is_being_checked(state, open_request, now):
        return False
    return not _is_tried(state, open_request.content)


def _is_tried(state: DispatchState, content: str) -> bool:
    """Return whether a target may be running another request of the content."""
    return any(
        send.open_request.content == content
        for send in state.sends_by_id.values()
    )


def _choose_index(
    state: DispatchState, open_request: OpenRequest, now: float
) -> int:
    """Return the place of the held part to send next.

    A suspected part goes to a shard with targets to spare, if there is one, and
    to one whose target has crashed. It is drawn at random: other requests that
    were in flight on the same targets are sent again at the same time.
    """
    held = open_request.held_parts
    if open_request.answered:
        return 0
    services = state.crashes.find(open_request.content).services
    suspected = services | open_request.lost_services
    preferences = [
        (_has_spare(state, part, now), part.service in suspected)
        for part in held
    ]
    best = max(preferences)
    return state.random.choice(
        [index for index, one in enumerate(preferences) if one == best]
    )


def _has_spare(state: DispatchState, part: Part, now: float) -> bool:
    """Return whether a service can lose a target and go on."""
    targets = state.registry.of_service(part.service)
    responsive = sum(
        is_usable(state, target, now)
        and not state.health_of(target).consecutive_failures
        for target in targets
    )
    return responsive > 1 or len(targets) == 1


def hedge_due_parts(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Hedge the parts that are due.

    While no shard has answered a query, one part is hedged at a time: the
    query, not a single target, may be the cause. A suspected request is not
    hedged.
    """
    # A process that was paused can get here after the deadline, when no
    # hedge must be sent any more.
    due = [
        part
        for part in open_request.parts
        if part.is_waiting and part.hedge_at <= now < open_request.deadline
    ]
    hedged = due
    if is_suspected(state, open_request):
        hedged = []
    elif open_request.is_unanswered_query:
        hedged = due[:1] if now >= open_request.next_lone_hedge_at else []
        if hedged:
            delay = state.latency_of(open_request.route).hedge_delay
            open_request.next_lone_hedge_at = now + delay
    for postponed in due[len(hedged) :]:
        postponed.hedge_at = now + _POLL_SECONDS
    return list(
        chain.from_iterable(
            hedge(state, open_request, part, now) for part in hedged
        )
    )
