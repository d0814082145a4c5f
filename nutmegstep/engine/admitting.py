"""Starts, queues or refuses arriving queries and merges identical ones."""

from typing import Final

from nutmegstep.admission import Decision
from nutmegstep.engine.control import refusal_reason
from nutmegstep.engine.effects import Effect, ReplyRefusal, SetTimer
from nutmegstep.engine.events import QueryArrived, TimerKey, TimerKind
from nutmegstep.engine.explaining import record_refusal
from nutmegstep.engine.finishing import OVERLOADED, refuse_query
from nutmegstep.engine.replicas import (
    newest_usable_version,
    service_shard_maps,
    usable_targets,
)
from nutmegstep.engine.restarting import refuse_without_version, start_version
from nutmegstep.engine.state import EngineState, QueryState
from nutmegstep.hedging import LatencyWindow
from nutmegstep.model import IdempotentQuery, Service
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = ['admit_queued', 'early_refusal', 'on_query']

# The concurrency limit of a service is derived from the adaptive limits of its
# targets. It is cached, because computing it takes a pass over all replicas.
_LIMIT_CACHE_SECONDS: Final = 0.1

_TOO_LATE: Final = refuse(
    Verdict.NOT_RUN,
    Reason.DEADLINE_EXCEEDED,
    'the deadline would pass before the answer arrives',
)


def early_refusal(
    state: EngineState,
    service: str,
    now: float,
) -> Refusal | None:
    """Return the refusal of an idempotent request if its head suffices.

    Lets the caller interface refuse a request without reading its body.

    Parameters
    ----------
    state : EngineState
        Not changed.
    service : str
        Name of the service.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Refusal or None
        None if the body must be read; the query may still be refused then.
    """
    reason = refusal_reason(state, service, now)
    if reason is not None:
        return refuse(Verdict.NOT_RUN, reason, 'the request cannot be accepted')
    work_class = state.fleet.services_by_name[service].work_class
    return OVERLOADED if state.admission.is_full(work_class) else None


def on_query(
    state: EngineState,
    event: QueryArrived,
    now: float,
    effects: list[Effect],
) -> None:
    """Join an identical query, or start, queue or refuse this one."""
    query = event.query
    reason = refusal_reason(state, query.service, now)
    if reason is not None:
        refusal = refuse(
            Verdict.NOT_RUN, reason, 'the request cannot be accepted'
        )
        _refuse(state, event, refusal, now, effects)
        return
    if now >= query.deadline:
        _refuse(state, event, _TOO_LATE, now, effects)
        return
    identical = state.query_by_content.get(_content(query))
    if identical is None:
        _admit(state, event, now, effects)
        return
    identical.deadline = max(identical.deadline, query.deadline)
    _add_caller(state, identical, event, effects)


def admit_queued(
    state: EngineState,
    now: float,
    effects: list[Effect],
) -> None:
    """Start queued queries that fit the concurrency limits again.

    A query whose answer would come after its deadline is refused instead.
    """
    state.recheck_queue = False
    if not state.admission.queued:
        return

    def limit_of(service: str) -> int:
        declared = state.fleet.services_by_name.get(service)
        return (
            0 if declared is None else _concurrency_limit(state, declared, now)
        )

    while True:
        query_id = state.admission.pop_next(limit_of)
        if query_id is None:
            return
        query = state.queries_by_id[query_id]
        query.queued = False
        state.admission.start(query.service.name, query.cost)
        if now + query.latency_window.median >= query.deadline:
            refuse_query(state, query, _TOO_LATE, now, effects)
        else:
            _start(state, query, now, effects)


def _admit(
    state: EngineState,
    event: QueryArrived,
    now: float,
    effects: list[Effect],
) -> None:
    service = state.fleet.services_by_name[event.query.service]
    query = _new_query(state, event, service, now)
    decision = state.admission.decide(
        service.name,
        service.work_class,
        query.cost,
        _concurrency_limit(state, service, now),
    )
    if decision is Decision.REFUSE:
        _refuse(state, event, OVERLOADED, now, effects)
        return
    late = now + query.latency_window.median >= query.deadline
    if decision is Decision.QUEUE and late:
        _refuse(state, event, _TOO_LATE, now, effects)
        return
    state.queries_by_id[event.query_id] = query
    state.query_by_content[_content(event.query)] = query
    _add_caller(state, query, event, effects)
    if decision is Decision.QUEUE:
        _enqueue_query(state, query, now, effects)
        return
    state.admission.start(service.name, query.cost)
    _start(state, query, now, effects)


def _refuse(
    state: EngineState,
    event: QueryArrived,
    refusal: Refusal,
    now: float,
    effects: list[Effect],
) -> None:
    query = event.query
    record_refusal(state, query.request_id, query.service, refusal, now)
    effects.append(ReplyRefusal(event.query_id, refusal))


def _new_query(
    state: EngineState,
    event: QueryArrived,
    service: Service,
    now: float,
) -> QueryState:
    window = state.latency_window_by_service.get(service.name)
    if window is None:
        window = LatencyWindow()
        state.latency_window_by_service[service.name] = window
    return QueryState(
        event.query_id,
        event.query,
        service,
        event.query.deadline,
        window,
        cost=_cost(state, event.query, service),
        arrived_at=now,
    )


def _start(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    state.restarts.earn()
    version = newest_usable_version(state, query.service, now)
    if version is None:
        detail = f'no version of index {query.service.index} can be served'
        refuse_without_version(state, query, detail, now, effects)
        return
    start_version(state, query, version, now, effects)


def _enqueue_query(
    state: EngineState,
    query: QueryState,
    now: float,
    effects: list[Effect],
) -> None:
    query.queued = True
    evicted_id = state.admission.enqueue_query(
        query.query_id,
        query.service.name,
        query.service.work_class,
        query.cost,
    )
    if evicted_id is not None:
        evicted = state.queries_by_id[evicted_id]
        refuse_query(state, evicted, OVERLOADED, now, effects)


def _add_caller(
    state: EngineState,
    query: QueryState,
    event: QueryArrived,
    effects: list[Effect],
) -> None:
    query.callers[event.query_id] = event.query.request_id
    state.query_by_caller[event.query_id] = query
    timer = TimerKey(TimerKind.DEADLINE, event.query_id)
    effects.append(SetTimer(timer, event.query.deadline))


def _content(query: IdempotentQuery) -> tuple[str, str | None, bytes]:
    return (query.service, query.record_key, query.body)


def _cost(state: EngineState, query: IdempotentQuery, service: Service) -> int:
    if query.record_key is not None:
        return 1
    versions = service_shard_maps(state, service)
    return len(versions[0].names) if versions else 1


def _concurrency_limit(state: EngineState, service: Service, now: float) -> int:
    limit, valid_until = state.limit_by_service.get(service.name, (0, now))
    if now >= valid_until:
        limit = _compute_concurrency_limit(state, service)
        state.limit_by_service[service.name] = (
            limit,
            now + _LIMIT_CACHE_SECONDS,
        )
    return limit


def _compute_concurrency_limit(state: EngineState, service: Service) -> int:
    versions = service_shard_maps(state, service)
    shards = versions[0].shards_by_name if versions else {}
    slots_by_shard = [
        sum(
            int(state.targets.stats_by_name[target.name].limit)
            for target in usable_targets(state, shard)
        )
        for shard in shards.values()
    ]
    return min(slots_by_shard, default=1) * len(slots_by_shard)
