"""Handles losses of targets and changes of the crash records in the store."""

import math
from datetime import timedelta
from itertools import chain
from typing import Final

from nutmegstep.dispatch.completion import refuse_open
from nutmegstep.dispatch.control_events import (
    CrashDeleted,
    CrashesListed,
    CrashStored,
    TargetChecked,
)
from nutmegstep.dispatch.crashes import KEEP_SECONDS
from nutmegstep.dispatch.effects import (
    CheckTarget,
    Decision,
    DeleteCrash,
    Effect,
    PublishCrash,
)
from nutmegstep.dispatch.losses import Evaluation, Loss
from nutmegstep.dispatch.probes import decide_probes, end_probe
from nutmegstep.dispatch.requests import OpenRequest, Send
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, refuse

__all__ = [
    'is_barred',
    'is_being_checked',
    'is_refused',
    'is_suspected',
    'keep_records',
    'log_evaluated',
    'record_check',
    'record_deleted',
    'record_listed',
    'record_loss',
    'record_stored',
    'record_success',
    'refuse_crashing',
    'settle_losses',
]


_CHECK_SECONDS: Final = 0.05
"""Time in which most targets are known to listen or not."""
_PROBE_SECONDS: Final = 1.0
"""Time from the beginning of a turn in which a probe has usually run."""
_RETRY_AFTER_SPREAD: Final = 0.5
"""Share of ``Retry-After`` by which callers of restricted content return at
different moments."""


def record_loss(
    state: DispatchState, send: Send, send_id: int, now: float
) -> list[Effect]:
    """Record that a target closed a connection without a response."""
    open_request = send.open_request
    loss = Loss(
        send.part.service,
        send.target.target_id,
        send.target.started_ms,
        send_id,
        state.next_send_id,
        open_request,
        now,
    )
    open_request.lost_services.add(send.part.service)
    if state.losses.record(loss):
        return [CheckTarget(send.target)]
    return []


def record_success(
    state: DispatchState, send: Send, now: float
) -> list[Effect]:
    """Stop suspecting a request that a target has run, on all VMs."""
    if state.losses.is_empty and state.crashes.is_empty:
        return []
    content = send.open_request.content
    service = send.part.service
    evaluated = state.losses.clear(content, service)
    cleared = state.crashes.clear(content, service, now)
    return [
        *log_evaluated(evaluated),
        *(DeleteCrash(record) for record in cleared),
    ]


def is_suspected(state: DispatchState, open_request: OpenRequest) -> bool:
    """Return whether a request was in flight on a target that may have crashed.

    It is not suspected any more once a target has answered a part of it.
    """
    if open_request.answered:
        return False
    if state.losses.is_empty and state.crashes.is_empty:
        return False
    content = open_request.content
    return state.crashes.find(content).count() > 0 or state.losses.is_suspected(
        content
    )


def is_being_checked(
    state: DispatchState, open_request: OpenRequest, now: float
) -> bool:
    """Return whether it will soon be known if a request crashed a target.

    A probe waits until it is known, so that it ends one target at most.
    """
    is_probe = open_request.probe_generation is not None
    longest = math.inf if is_probe else _CHECK_SECONDS
    return not state.losses.is_empty and state.losses.is_suspected(
        open_request.content, now - longest
    )


def is_refused(state: DispatchState, open_request: OpenRequest) -> bool:
    """Return whether a request has crashed too many targets in a row."""
    return (
        not state.crashes.is_empty
        and state.crashes.find(open_request.content).is_refused
    )


def is_barred(
    state: DispatchState, open_request: OpenRequest, now: float
) -> bool:
    """Return whether a request must not be sent, or sent again.

    Restricted content is sent in probes only. A probe ends with the next crash.
    """
    if state.crashes.is_empty:
        return False
    crashes = state.crashes.find(open_request.content)
    if crashes.is_refused:
        return True
    is_probe = open_request.probe_generation == crashes.count()
    return crashes.is_restricted(now) and not is_probe


def refuse_crashing(
    state: DispatchState,
    open_request: OpenRequest,
    now: float,
) -> list[Effect]:
    """Refuse a request that is refused for good, or restricted for now."""
    seconds = KEEP_SECONDS
    detail = 'targets that ran this request have crashed'
    if not is_refused(state, open_request):
        spread = _RETRY_AFTER_SPREAD * state.random.random()
        crashes = state.crashes.find(open_request.content)
        until_probe = crashes.seconds_until_turn(now) + _PROBE_SECONDS
        seconds = until_probe * (1 + spread)
        detail = (
            'targets have crashed while this request was in flight; it is sent '
            + 'again now and then'
        )
    refusal = refuse(
        open_request.verdict,
        Reason.CRASHES_TARGETS,
        detail,
        retry_after=timedelta(seconds=seconds),
    )
    inputs = {
        'host': open_request.request.host,
        'content': open_request.content,
    }
    return refuse_open(state, open_request, refusal, inputs)


def record_check(
    state: DispatchState,
    event: TargetChecked,
    now: float,
) -> list[Effect]:
    """Record whether a target that closed a connection still listens."""
    for watch in state.crashes.watches():
        watch.record_check(event.target_id, is_listening=event.is_listening)
    dropped = state.losses.record_check(
        event.target_id, is_listening=event.is_listening
    )
    return [*log_evaluated(dropped), *settle_losses(state, now)]


def settle_losses(state: DispatchState, now: float) -> list[Effect]:
    """Add the crashes that are confirmed, and publish those that are due."""
    if state.losses.is_empty and state.crashes.is_empty:
        return []
    confirmed = state.losses.confirm(state.contact_at)
    probes = [
        state.crashes.of_content(loss.content).add_loss(loss, now)
        for loss in confirmed
    ]
    return [
        *log_evaluated(confirmed),
        *chain.from_iterable(
            end_probe(state, crash, now) for crash in probes if crash
        ),
        *_log_barred(state, now),
        *(PublishCrash(one) for one in state.crashes.take_unpublished(now)),
    ]


def keep_records(state: DispatchState, now: float) -> list[Effect]:
    """Publish crashes that are due, and forget old ones."""
    crashes = state.crashes
    unknown = state.losses.expire(now)
    return [
        *log_evaluated(unknown),
        *decide_probes(state, now),
        *settle_losses(state, now),
        *(DeleteCrash(record) for record in crashes.deleted.take_due(now)),
        *(
            DeleteCrash(record)
            for record in crashes.expire(now, state.phase_of('crashes'))
        ),
    ]


def log_evaluated(losses: list[Loss]) -> list[Effect]:
    """Log what became of losses of targets; open ones are checked again."""
    return [
        Decision(
            'loss_evaluated',
            '',
            {
                'target': loss.target_id,
                'content': loss.content,
                'evaluation': (loss.evaluation or Evaluation.RECHECKED).value,
            },
        )
        for loss in losses
    ]


def record_listed(
    state: DispatchState,
    event: CrashesListed,
    now: float,
) -> list[Effect]:
    """Replace the crashes that are known from the store."""
    state.crashes.replace_stored(
        event.records, now, state.next_send_id, state.phase_of('crashes')
    )
    return _log_barred(state, now)


def record_stored(
    state: DispatchState,
    event: CrashStored,
    now: float,
) -> list[Effect]:
    """Add a crash that a VM has published."""
    state.crashes.record_stored(event.record, now, state.next_send_id)
    return _log_barred(state, now)


def record_deleted(
    state: DispatchState,
    event: CrashDeleted,
    now: float,
) -> list[Effect]:
    """Forget a crash whose record was deleted."""
    state.crashes.forget(event.record, now)
    return []


def _log_barred(state: DispatchState, now: float) -> list[Effect]:
    return [
        Decision(
            'content_refused' if is_for_good else 'content_restricted',
            '',
            {
                'content': content,
                'crashes': state.crashes.find(content).count(),
            },
        )
        for content, is_for_good in state.crashes.take_barred(now)
    ]
