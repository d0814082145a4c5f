"""Handles losses of targets and changes of the crash records in the store."""

from datetime import timedelta

from nutmegstep.dispatch.completion import refuse_open
from nutmegstep.dispatch.control_events import (
    CrashDeleted,
    CrashesListed,
    CrashRecord,
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
from nutmegstep.dispatch.requests import OpenRequest, Send
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, refuse

__all__ = [
    'is_refused',
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


def record_loss(state: DispatchState, send: Send, now: float) -> list[Effect]:
    """Record that a target closed a connection without a response."""
    open_request = send.open_request
    loss = Loss(
        open_request.content,
        (open_request.request.request_id, len(send.part.tried_targets)),
        send.target.target_id,
        f'{send.target.target_id}-{send.target.started_ms}',
        now,
    )
    if state.losses.record(loss):
        return [CheckTarget(send.target)]
    return []


def record_success(
    state: DispatchState, open_request: OpenRequest, now: float
) -> list[Effect]:
    """Stop suspecting a request that a target has run, on all VMs."""
    evaluated: list[Loss] = []
    if not state.losses.is_empty:
        evaluated = state.losses.clear(open_request.content)
    if state.crashes.is_empty:
        return log_evaluated(evaluated)
    cleared = state.crashes.clear(open_request.content, now)
    return [
        *log_evaluated(evaluated),
        *(DeleteCrash(record) for record in cleared),
    ]


def is_refused(state: DispatchState, open_request: OpenRequest) -> bool:
    """Return whether a request has crashed too many targets."""
    return not state.crashes.is_empty and state.crashes.is_refused(
        open_request.content
    )


def refuse_crashing(
    state: DispatchState,
    open_request: OpenRequest,
) -> list[Effect]:
    """Refuse a request that has crashed too many targets."""
    refusal = refuse(
        open_request.verdict,
        Reason.CRASHES_TARGETS,
        'targets that ran this request have crashed',
        retry_after=timedelta(seconds=KEEP_SECONDS),
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
    dropped = state.losses.record_check(
        event.target_id, is_listening=event.is_listening
    )
    return log_evaluated(dropped)


def settle_losses(state: DispatchState, now: float) -> list[Effect]:
    """Evaluate losses, publish crashes and forget old ones."""
    crashes = state.crashes
    evaluated = state.losses.settle(now)
    observed = [
        CrashRecord(loss.content, loss.incarnation)
        for loss in evaluated
        if loss.evaluation is Evaluation.SUSPECTED
    ]
    decisions = [
        _refused_decision(state, record.content)
        for record in observed
        if crashes.record_crash(record, now)
    ]
    return [
        *log_evaluated(evaluated),
        *decisions,
        *(PublishCrash(record) for record in crashes.take_unpublished(now)),
        *(DeleteCrash(record) for record in crashes.deleted.take_due(now)),
        *(
            DeleteCrash(record)
            for record in crashes.expire(now, state.phase_of('crashes'))
        ),
    ]


def log_evaluated(losses: list[Loss]) -> list[Effect]:
    """Log what became of losses of targets."""
    return [
        Decision(
            'loss_evaluated',
            '',
            {
                'target': loss.target_id,
                'content': loss.content,
                'evaluation': loss.evaluation.value,
            },
        )
        for loss in losses
        if loss.evaluation
    ]


def record_listed(
    state: DispatchState,
    event: CrashesListed,
    now: float,
) -> list[Effect]:
    """Replace the crashes that are known from the store."""
    refused = state.crashes.replace_stored(
        event.records, now, state.phase_of('crashes')
    )
    return [_refused_decision(state, record.content) for record in refused]


def record_stored(
    state: DispatchState,
    event: CrashStored,
    now: float,
) -> list[Effect]:
    """Add a crash that a VM has published."""
    if state.crashes.record_stored(event.record, now):
        return [_refused_decision(state, event.record.content)]
    return []


def record_deleted(
    state: DispatchState,
    event: CrashDeleted,
    now: float,
) -> list[Effect]:
    """Forget a crash whose record was deleted."""
    state.crashes.forget(event.record, now)
    return []


def _refused_decision(state: DispatchState, content: str) -> Decision:
    inputs = {'content': content, 'crashes': state.crashes.count(content)}
    return Decision('content_refused', '', inputs)
