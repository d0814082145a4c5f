"""Measures costs of the engine reducer and of the codecs at a given size."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Final

from nutmegstep.declarations import (
    decode_catalogue,
    decode_fleet,
    encode_catalogue,
    encode_fleet,
)
from nutmegstep.engine import EngineState, reduce
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import (
    CatalogueChanged,
    FleetChanged,
    QueryArrived,
    TargetAnswered,
)
from nutmegstep.measure.fleets import (
    REPLICAS,
    SERVICE,
    sized_fleet,
    sized_version,
)
from nutmegstep.model import IdempotentQuery

__all__ = [
    'allocated_bytes',
    'catalogue_bytes',
    'catalogue_decode',
    'catalogue_encode',
    'fleet_bytes',
    'fleet_decode',
    'fleet_encode',
    'least_microseconds',
    'query_memory',
    'query_time_by_shards',
    'query_time_by_targets',
    'state_memory',
]

_REPEATS: Final = 5
_QUERIES: Final = 20
_FIXED_SHARDS: Final = 25
_MICROSECONDS: Final = 1_000_000


def _loaded_state(shards: int, targets: int) -> EngineState:
    state = EngineState('domain-1', Random(1))
    reduce(state, FleetChanged(sized_fleet(targets)), 0)
    version = sized_version(shards)
    index = state.fleet.services_by_name[SERVICE].index
    reduce(state, CatalogueChanged(index, (version,)), 0)
    return state


def _query(query_id: int) -> QueryArrived:
    query = IdempotentQuery(str(query_id), SERVICE, b'{}', deadline=1)
    return QueryArrived(query_id, query)


def _run_queries(state: EngineState) -> None:
    for query_id in range(_QUERIES):
        for effect in reduce(state, _query(query_id), 0):
            if isinstance(effect, SendToTarget):
                answer = TargetAnswered(effect.attempt_id, 1, 'boot', b'{}')
                reduce(state, answer, 0)


def least_microseconds(action: Callable[[], object]) -> float:
    """Return the minimum processor time of five runs in microseconds.

    The minimum is the run that other processes disturbed least.
    """
    spent = []
    for _ in range(_REPEATS):
        started = time.process_time()
        action()
        spent.append(time.process_time() - started)
    return min(spent) * _MICROSECONDS


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that the result of a function occupies."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def query_time_by_shards(shards: int) -> float:
    """Return the microseconds of the reducer for a query over some shards."""
    state = _loaded_state(shards, shards * REPLICAS)
    return least_microseconds(lambda: _run_queries(state)) / _QUERIES


def query_time_by_targets(targets: int) -> float:
    """Return the microseconds of the reducer for a query over 25 shards.

    The number of configured targets varies instead of the number of shards.
    """
    state = _loaded_state(_FIXED_SHARDS, targets)
    return least_microseconds(lambda: _run_queries(state)) / _QUERIES


def query_memory(shards: int) -> float:
    """Return the bytes of engine state that a query in flight occupies."""
    state = _loaded_state(shards, shards * REPLICAS)

    def start_queries() -> None:
        for query_id in range(_QUERIES):
            reduce(state, _query(query_id), 0)

    return allocated_bytes(start_queries) / _QUERIES


def state_memory(targets: int) -> float:
    """Return the bytes of engine state with configuration and catalogue."""
    return allocated_bytes(
        lambda: _loaded_state(targets // REPLICAS, targets),
    )


def fleet_bytes(targets: int) -> float:
    """Return the size of an encoded configuration in bytes."""
    return len(encode_fleet(sized_fleet(targets)))


def fleet_encode(targets: int) -> float:
    """Return the microseconds to encode a configuration."""
    fleet = sized_fleet(targets)
    return least_microseconds(lambda: encode_fleet(fleet))


def fleet_decode(targets: int) -> float:
    """Return the microseconds to decode a configuration."""
    document = encode_fleet(sized_fleet(targets))
    return least_microseconds(lambda: decode_fleet(document))


def catalogue_bytes(shards: int) -> float:
    """Return the size of an encoded catalogue in bytes."""
    return len(encode_catalogue((sized_version(shards),)))


def catalogue_encode(shards: int) -> float:
    """Return the microseconds to encode a catalogue."""
    versions = (sized_version(shards),)
    return least_microseconds(lambda: encode_catalogue(versions))


def catalogue_decode(shards: int) -> float:
    """Return the microseconds to decode a catalogue."""
    document = encode_catalogue((sized_version(shards),))
    return least_microseconds(lambda: decode_catalogue(document))
