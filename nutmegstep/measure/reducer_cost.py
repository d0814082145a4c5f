"""Measures the processor time of the engine reducer per target request."""

import argparse
import time
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Final

from nutmegstep.engine import EngineState, reduce
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import (
    CatalogueChanged,
    FleetChanged,
    QueryArrived,
    TargetAnswered,
    TargetReportedWarm,
)
from nutmegstep.model import (
    CoverageRule,
    Fleet,
    IdempotentQuery,
    IndexVersion,
    Service,
    Shard,
    Target,
    WorkClass,
)

__all__ = ['main', 'microseconds_per_request']

_DOMAINS: Final = 3
_SERVICE: Final = 'catalogue'
_MICROSECONDS: Final = 1_000_000
# Simulated time between two answers of targets.
_ANSWER_SECONDS: Final = 0.0001


@dataclass(frozen=True, slots=True)
class _Load:
    queries: int
    shards: int
    seed: int


def microseconds_per_request(queries: int, shards: int, seed: int) -> float:
    """Measure the reducer with complete queries and without I/O.

    Parameters
    ----------
    queries : int
        Number of queries, which run one after the other.
    shards : int
        Number of shards of a query, with three replicas each.
    seed : int
        Seed of the random choice of replicas.

    Returns
    -------
    float
        Processor time in microseconds per target request.
    """
    state = _new_state(shards, seed)
    _run(state, _Load(queries // 10, shards, seed), 0)
    started = time.process_time()
    requests = _run(state, _Load(queries, shards, seed), queries)
    elapsed = time.process_time() - started
    return elapsed * _MICROSECONDS / requests


def main() -> None:
    """Print the cost for the numbers of shards of the design page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--queries', type=int, default=2000)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    for shards in (1, 25, 120):
        cost = microseconds_per_request(options.queries, shards, options.seed)
        print(f'{shards} shards: {cost:.1f} microseconds per target request')


def _new_state(shards: int, seed: int) -> EngineState:
    shards_by_name = {
        f's{number}': Shard(
            f's{number}',
            'group',
            tuple(f's{number}-{copy}' for copy in range(_DOMAINS)),
        )
        for number in range(shards)
    }
    targets = {
        name: Target(name, '127.0.0.1', 1, f'domain-{name[-1]}', 3, 1, 42)
        for shard in shards_by_name.values()
        for name in shard.replicas
    }
    service = Service(
        _SERVICE,
        'records',
        ('group',),
        WorkClass.INTERACTIVE,
        CoverageRule.WHOLE,
        timedelta(seconds=1),
    )
    state = EngineState('domain-0', Random(seed))
    fleet = Fleet(1, {_SERVICE: service}, targets, 7, {})
    reduce(state, FleetChanged(fleet), 0)
    versions = (IndexVersion(1, shards_by_name),)
    reduce(state, CatalogueChanged('records', versions), 0)
    for name in targets:
        reduce(state, TargetReportedWarm(name, 'boot'), 0)
    return state


def _run(state: EngineState, load: _Load, first: int) -> int:
    requests = 0
    now = float(first)
    for query_id in range(first, first + load.queries):
        query = IdempotentQuery(str(query_id), _SERVICE, b'{}', now + 1)
        effects = reduce(state, QueryArrived(query_id, query), now)
        for effect in effects:
            if isinstance(effect, SendToTarget):
                requests += 1
                now += _ANSWER_SECONDS
                attempt_id = effect.attempt_id
                answer = TargetAnswered(attempt_id, 1, 'boot', b'1')
                reduce(state, answer, now)
    return requests


if __name__ == '__main__':
    main()
