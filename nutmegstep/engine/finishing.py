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
from nutmegstep.engine.sending import give_up_attempt
from nutmegstep.engine.state import EngineState, QueryState
from nutmegstep.model import CoverageRule
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = [
    'cancel_attempts',
    'drain_if_idle',
    'end_query',
    'finish_when_gathered',
    'refuse_query',
    'sent_verdict',
]

_LATE: Final = 'deadline_exceeded'


def sent_verdict(query: QueryState) -> Verdict:
    """Return whether a target may have executed a part of a query.

    Attempts without an outcome count: their bytes may have left.
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
    """Cancel the attempts of a query that have no outcome yet."""
    for attempt_id in query.attempt_ids:
        give_up_attempt(state, attempt_id, now, effects)
        query.may_have_run = True
    query.attempt_ids.clear()


def end_query(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """Forget a query, its timers and its attempts."""
    del state.queries_by_id[query.query_id]
    effects.append(CancelTimer(TimerKey(TimerKind.DEADLINE, query.query_id)))
    effects.append(CancelTimer(TimerKey(TimerKind.HEDGE, query.query_id)))
    cancel_attempts(state, query, now, effects)


def refuse_query(
    state: EngineState,
    query: QueryState,
    refusal: Refusal,
    now: float,
    effects: list[Effect],
) -> None:
    """End a query with a refusal."""
    end_query(state, query, now, effects)
    effects.append(ReplyRefusal(query.query_id, refusal))
    drain_if_idle(state, effects)


def finish_when_gathered(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    """Reply once every shard has an outcome."""
    if query.pending:
        return
    whole = query.service.coverage is CoverageRule.WHOLE
    if query.lacking_by_shard and (whole or not query.results_by_shard):
        refuse_query(state, query, _incomplete(query), now, effects)
        return
    end_query(state, query, now, effects)
    answer = build_answer(
        query.service.name,
        query.version,
        query.shards_by_name.keys(),
        query.results_by_shard,
        query.lacking_by_shard,
    )
    effects.append(ReplyAnswer(query.query_id, answer))
    drain_if_idle(state, effects)


def drain_if_idle(state: EngineState, effects: list[Effect]) -> None:
    """Let the process stop when it drains and no request is left."""
    if not state.draining or state.drain_finished:
        return
    # An abandoned claim must still be released when the platform decides it.
    if state.queries_by_id or state.one_shots_by_id or state.abandoned_claims:
        return
    state.drain_finished = True
    effects.append(FinishDrain())


def _incomplete(query: QueryState) -> Refusal:
    reasons = set(query.lacking_by_shard.values())
    return refuse(
        sent_verdict(query),
        Reason.DEADLINE_EXCEEDED if _LATE in reasons else Reason.INCOMPLETE,
        f'{len(query.lacking_by_shard)} of {len(query.shards_by_name)} '
        f'shards are lacking: {sorted(reasons)}',
    )
