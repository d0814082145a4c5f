"""Ends queries with an answer or a refusal."""

from typing import Final

from nutmegstep.coverage import build_answer
from nutmegstep.engine.effects import (
    CancelTimer,
    Effect,
    FinishDrain,
    ReplyAnswer,
    ReplyRefusal,
)
from nutmegstep.engine.events import TimerKey, TimerKind
from nutmegstep.engine.explaining import record_outcome
from nutmegstep.engine.sending import cancel_attempt
from nutmegstep.engine.state import EngineState, QueryState
from nutmegstep.model import Answer, CoverageRule
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = [
    'OVERLOADED',
    'cancel_attempts',
    'close_query',
    'detach_caller',
    'drain_if_idle',
    'finish_if_done',
    'outcome_of',
    'refuse_query',
    'sent_verdict',
]

_DEADLINE_EXCEEDED: Final = 'deadline_exceeded'

OVERLOADED: Final = refuse(
    Verdict.NOT_RUN,
    Reason.OVERLOADED,
    'the queue of the work class is full',
)


def sent_verdict(query: QueryState) -> Verdict:
    """Return whether a target may have executed a request of a query.

    An attempt in flight counts as possibly executed, because its bytes may
    have reached the target.
    """
    if query.may_have_run or query.attempt_ids:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN


def cancel_attempts(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """Cancel the attempts of a query that are in flight."""
    for attempt_id in query.attempt_ids:
        cancel_attempt(state, attempt_id, now, effects)
        query.may_have_run = True
    query.attempt_ids.clear()


def close_query(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """Remove a query and cancel its timers and attempts."""
    del state.queries_by_id[query.query_id]
    request = query.request
    content = (request.service, request.record_key, request.body)
    state.query_by_content.pop(content, None)
    for caller in query.callers:
        del state.query_by_caller[caller]
        effects.append(CancelTimer(TimerKey(TimerKind.DEADLINE, caller)))
    _release_admission(state, query, effects)
    cancel_attempts(state, query, now, effects)


def refuse_query(
    state: EngineState,
    query: QueryState,
    refusal: Refusal,
    now: float,
    effects: list[Effect],
) -> None:
    """End a query with a refusal to each of its callers."""
    record_outcome(state, query, refusal, now)
    close_query(state, query, now, effects)
    for caller in query.callers:
        effects.append(ReplyRefusal(caller, refusal))
    drain_if_idle(state, effects)


def finish_if_done(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """End a query with a reply to each caller if no shard is pending."""
    if query.pending_shards:
        return
    outcome = outcome_of(query)
    if isinstance(outcome, Refusal):
        refuse_query(state, query, outcome, now, effects)
        return
    record_outcome(state, query, outcome, now)
    close_query(state, query, now, effects)
    for caller in query.callers:
        effects.append(ReplyAnswer(caller, outcome))
    drain_if_idle(state, effects)


def outcome_of(query: QueryState) -> Answer | Refusal:
    """Return the reply to a query as it stands.

    Pending shards are listed as lacking with the reason ``deadline_exceeded``.
    """
    lacking = query.lacking_by_shard | dict.fromkeys(
        query.pending_shards, _DEADLINE_EXCEEDED
    )
    whole = query.service.coverage is CoverageRule.WHOLE
    if not query.shards_by_name or (
        lacking and (whole or not query.results_by_shard)
    ):
        return _incomplete(query, lacking)
    return build_answer(
        query.service.name,
        query.version,
        query.shards_by_name.keys(),
        # Copied, because the query may continue for other callers.
        query.results_by_shard.copy(),
        lacking,
    )


def detach_caller(
    state: EngineState,
    query: QueryState,
    caller: int,
    effects: list[Effect],
) -> None:
    """Remove one of several callers of a query; the query continues."""
    del query.callers[caller]
    del state.query_by_caller[caller]
    effects.append(CancelTimer(TimerKey(TimerKind.DEADLINE, caller)))


def drain_if_idle(state: EngineState, effects: list[Effect]) -> None:
    """Finish the drain if the process is draining and no request is left."""
    if not state.draining or state.drain_finished:
        return
    # A claim that is won after its request ended must still be released.
    if state.queries_by_id or state.one_shots_by_id or state.abandoned_claims:
        return
    state.drain_finished = True
    effects.append(FinishDrain())


def _release_admission(
    state: EngineState,
    query: QueryState,
    effects: list[Effect],
) -> None:
    if query.queued:
        service = query.service
        state.admission.remove_query(query.query_id, service.work_class)
        return
    state.admission.finish(query.service.name, query.cost)
    state.recheck_queue = True
    if query.shards_by_name:
        effects.append(CancelTimer(TimerKey(TimerKind.HEDGE, query.query_id)))


def _incomplete(query: QueryState, lacking: dict[str, str]) -> Refusal:
    if query.queued:
        detail = 'the deadline passed while the query was queued'
        return refuse(Verdict.NOT_RUN, Reason.DEADLINE_EXCEEDED, detail)
    reasons = set(lacking.values())
    return refuse(
        sent_verdict(query),
        Reason.DEADLINE_EXCEEDED
        if _DEADLINE_EXCEEDED in reasons
        else Reason.INCOMPLETE,
        f'{len(lacking)} of {len(query.shards_by_name)} '
        f'shards are lacking: {sorted(reasons)}',
    )
