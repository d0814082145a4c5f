"""Sends and refuses one-shot requests that hold a permit.

A send uses up the permit. A refusal ends the claim.
"""

from dataclasses import dataclass

from nutmegstep.engine.effects import (
    CancelTimer,
    Effect,
    RecordClaimOutcome,
    ReplyRefusal,
    SendToTarget,
)
from nutmegstep.engine.events import TargetFailed, TimerKey, TimerKind
from nutmegstep.engine.explaining import record_refusal
from nutmegstep.engine.finishing import (
    OVERLOADED,
    drain_if_idle,
    refuse_query,
)
from nutmegstep.engine.replicas import (
    candidates_of,
    choose_free_target,
    newest_usable_version,
    shard_of_record,
)
from nutmegstep.engine.sending import (
    open_attempt,
    request_deadline,
    wait_for_slot,
)
from nutmegstep.engine.state import (
    EngineState,
    OneShotReady,
    OneShotSent,
    OneShotState,
)
from nutmegstep.model import Answer, Shard, Target, WorkClass
from nutmegstep.snapshot import ServiceShardMap
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = [
    'PinnedTarget',
    'close_one_shot',
    'refuse_ready',
    'refuse_sent',
    'reply_refusal',
    'returned_permit',
    'send_once',
    'send_or_refuse',
]

PinnedTarget = tuple[ServiceShardMap, Shard, Target]


@dataclass(frozen=True, slots=True)
class _ReplicaChoice:
    """Index version, shard and replicas for a one-shot request."""

    work_class: WorkClass
    version: ServiceShardMap
    shard: Shard
    candidates: list[Target]


def send_once(
    state: EngineState,
    ready: OneShotReady,
    pinned: PinnedTarget,
    now: float,
) -> SendToTarget:
    """Use up the permit of a request and return the effect that sends it.

    Parameters
    ----------
    state : EngineState
        Changed in place; the request is recorded as sent.
    ready : OneShotReady
        The request with its permit; must not be passed a second time.
    pinned : tuple
        Shard map of the index version, shard and target.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    SendToTarget
        The only effect for this permit.
    """
    version, shard, target = pinned
    request = ready.request
    attempt_id = open_attempt(
        state,
        ready.query_id,
        shard.name,
        target.name,
        now,
    )
    state.one_shots_by_id[ready.query_id] = OneShotSent(
        ready.query_id,
        request,
        attempt_id,
        version.number,
        ready,
    )
    return SendToTarget(
        attempt_id,
        ready.query_id,
        target.name,
        shard.name,
        version.number,
        request.body,
        request_deadline(state, target.name, request.deadline, now),
        request.traceparent,
        permit=ready.permit,
    )


def returned_permit(
    sent: OneShotSent,
    failure: TargetFailed,
    target: str,
) -> OneShotReady | None:
    """Return a failed request as ready to be sent again, if that is safe.

    Returns
    -------
    OneShotReady or None
        None if the target may have executed the request.
    """
    if failure.may_have_run or failure.attempt_id != sent.attempt_id:
        return None
    return OneShotReady(
        sent.query_id,
        sent.request,
        sent.consumed.permit,
        sent.consumed.tried_targets | {target},
    )


def send_or_refuse(
    state: EngineState,
    ready: OneShotReady,
    now: float,
    effects: list[Effect],
) -> None:
    """Send a request with its permit, queue it, or refuse it as not run.

    A queued request has not been sent, so that its refusal is `not_run` too.
    """
    if now >= ready.request.deadline:
        detail = 'the deadline passed before the request was sent'
        refuse_ready(
            state, ready, Reason.DEADLINE_EXCEEDED, detail, now, effects
        )
        return
    choice = _find_replicas(state, ready, now)
    if choice is None:
        detail = 'no replica can receive the request'
        refuse_ready(state, ready, Reason.TARGET_FAILED, detail, now, effects)
        return
    target = choose_free_target(state, choice.candidates, now)
    if target is None:
        _queue_for_slot(state, ready, choice, now, effects)
        return
    state.admission.remove_one_shot(ready.query_id)
    pinned = (choice.version, choice.shard, target)
    effects.append(send_once(state, ready, pinned, now))


def close_one_shot(
    state: EngineState,
    one_shot: OneShotReady | OneShotSent,
    answer: Answer | None,
    effects: list[Effect],
    *,
    may_have_run: bool,
) -> None:
    """Remove a request and report to the claim service how it ended."""
    state.one_shots_by_id.pop(one_shot.query_id, None)
    state.admission.remove_one_shot(one_shot.query_id)
    query_id = one_shot.query_id
    key = one_shot.request.idempotency_key
    effects.append(CancelTimer(TimerKey(TimerKind.DEADLINE, query_id)))
    effects.append(RecordClaimOutcome(query_id, key, answer, may_have_run))


def refuse_ready(
    state: EngineState,
    ready: OneShotReady,
    reason: Reason,
    detail: str,
    now: float,
    effects: list[Effect],
) -> None:
    """Refuse a request that was not executed, and release its claim."""
    close_one_shot(state, ready, None, effects, may_have_run=False)
    refusal = refuse(Verdict.NOT_RUN, reason, detail)
    reply_refusal(state, ready, refusal, now, effects)


def refuse_sent(
    state: EngineState,
    sent: OneShotSent,
    reason: Reason,
    detail: str,
    now: float,
    effects: list[Effect],
) -> None:
    """Refuse a request that a target may have executed."""
    close_one_shot(state, sent, None, effects, may_have_run=True)
    refusal = refuse(Verdict.MAY_HAVE_RUN, reason, detail)
    reply_refusal(state, sent, refusal, now, effects)


def reply_refusal(
    state: EngineState,
    one_shot: OneShotState,
    refusal: Refusal,
    now: float,
    effects: list[Effect],
) -> None:
    """Reply with a refusal and record it for operators."""
    request = one_shot.request
    record_refusal(state, request.request_id, request.service, refusal, now)
    effects.append(ReplyRefusal(one_shot.query_id, refusal))
    drain_if_idle(state, effects)


def _find_replicas(
    state: EngineState,
    ready: OneShotReady,
    now: float,
) -> _ReplicaChoice | None:
    service = state.fleet.services_by_name.get(ready.request.service)
    if service is None:
        return None
    version = newest_usable_version(state, service, now)
    if version is None or not version.names:
        return None
    shard = shard_of_record(ready.request.record_key, version)
    candidates = candidates_of(state, shard, ready.tried_targets, now)
    if not candidates:
        return None
    return _ReplicaChoice(service.work_class, version, shard, candidates)


def _queue_for_slot(
    state: EngineState,
    ready: OneShotReady,
    choice: _ReplicaChoice,
    now: float,
    effects: list[Effect],
) -> None:
    query_id = ready.query_id
    is_not_queued = not isinstance(
        state.one_shots_by_id.get(query_id), OneShotReady
    )
    if is_not_queued and state.admission.is_full(choice.work_class):
        detail = 'the queue of the work class is full'
        refuse_ready(state, ready, Reason.OVERLOADED, detail, now, effects)
        return
    state.one_shots_by_id[query_id] = ready
    evicted_id = state.admission.enqueue_one_shot(query_id, choice.work_class)
    if evicted_id is not None:
        evicted = state.queries_by_id[evicted_id]
        refuse_query(state, evicted, OVERLOADED, now, effects)
    wait_for_slot(state, query_id, choice.shard, choice.candidates)
