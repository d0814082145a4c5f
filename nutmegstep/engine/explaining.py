"""Records refused, partial and slow requests for operators."""

from collections.abc import Iterable
from typing import Final

from nutmegstep.engine.explanation import Explanation
from nutmegstep.engine.state import EngineState, QueryState
from nutmegstep.hedging import silence_timeout
from nutmegstep.model import Answer, LackingShard
from nutmegstep.verdict import Refusal

__all__ = [
    'find_explanations',
    'record_outcome',
    'record_refusal',
]

_REFUSED: Final = 'refused'
_PARTIAL: Final = 'partial'
_SLOW: Final = 'slow'


def record_refusal(
    state: EngineState,
    request_id: str,
    service: str,
    refusal: Refusal,
    now: float,
) -> None:
    """Record the refusal of a one-shot request or of a query on arrival."""
    explanation = Explanation(
        (request_id,),
        service,
        _REFUSED,
        now,
        refusal=refusal,
    )
    state.explanations.append(explanation)


def record_outcome(
    state: EngineState,
    query: QueryState,
    outcome: Answer | Refusal,
    now: float,
    callers: Iterable[int] | None = None,
) -> None:
    """Record the outcome of a query if it is refused, partial or slow.

    A complete answer is slow if it took longer than the silence timeout of
    the service. Without `callers`, it is the outcome of all of them.
    """
    seconds = now - query.arrived_at
    kind = _kind(query, outcome, seconds)
    if kind is None:
        return
    lacking = query.lacking_by_shard.items()
    tried = query.tried_targets_by_shard.values()
    concerned = query.callers if callers is None else callers
    explanation = Explanation(
        tuple(query.callers[caller] for caller in concerned),
        query.service.name,
        kind,
        now,
        seconds,
        outcome if isinstance(outcome, Refusal) else None,
        query.version,
        tuple(LackingShard(shard, reason) for shard, reason in lacking),
        sum(map(len, tried)),
        len(query.hedged_shards),
        max(0, len(query.tried_versions) - 1),
    )
    state.explanations.append(explanation)


def find_explanations(state: EngineState, request_id: str) -> list[Explanation]:
    """Return the records of a request, oldest first."""
    return [
        explanation
        for explanation in state.explanations
        if request_id in explanation.request_ids
    ]


def _kind(
    query: QueryState,
    outcome: Answer | Refusal,
    seconds: float,
) -> str | None:
    if isinstance(outcome, Refusal):
        return _REFUSED
    if outcome.lacking:
        return _PARTIAL
    return (
        _SLOW if seconds > silence_timeout(query.latency_window.p99) else None
    )
