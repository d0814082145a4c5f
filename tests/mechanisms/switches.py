"""Replacements of functions of the package, each without one mechanism.

Each docstring says what the replacement does wrong.
"""

from collections.abc import Collection, Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from nutmegstep.claims import commit
from nutmegstep.claims import core as claims
from nutmegstep.claims.messages import ClaimEffect
from nutmegstep.claims.state import (
    ClaimReducerState,
    JournalState,
    PendingClaim,
)
from nutmegstep.coverage import build_answer
from nutmegstep.engine import (
    control,
    core,
    permits,
    replicas,
    restarting,
    scatter,
    sending,
)
from nutmegstep.engine.effects import Effect, FinishDrain
from nutmegstep.engine.events import FleetChanged, TargetAnswered, TargetFailed
from nutmegstep.engine.state import (
    AttemptState,
    EngineState,
    OneShotReady,
    OneShotSent,
    QueryState,
)
from nutmegstep.model import Answer, Shard, Target
from nutmegstep.routing import usable_replicas
from nutmegstep.verdict import Verdict
from nutmegstep.warmup import Warmup

__all__ = [
    'any_generation',
    'any_version',
    'claim_held_by_another',
    'covered_only',
    'drain_at_once',
    'expired_lease',
    'expired_lease_slot',
    'keep_results',
    'no_drains',
    'no_lease',
    'no_leaving',
    'no_ramp',
    'no_withdrawals',
    'not_run',
    'one_content',
    'permit_always',
    'recycled_identifier',
    'take_over_always',
]

_store_answer = scatter._store_answer
_start_version = restarting.start_version
_open_attempt = sending.open_attempt


def any_version(
    state: EngineState,
    query: QueryState,
    attempt: AttemptState,
    event: TargetAnswered,
    *rest: Any,
) -> None:
    """Accept an answer of another version as one of the pinned version."""
    accepted = replace(event, index_version=query.version)
    _store_answer(state, query, attempt, accepted, *rest)


def keep_results(state: EngineState, query: QueryState, *rest: Any) -> None:
    """Keep the results of the earlier version in a restart."""
    kept = query.results_by_shard
    _start_version(state, query, *rest)
    for shard, found in kept.items():
        query.results_by_shard[shard] = found
        query.pending_shards.pop(shard, None)


def covered_only(
    service: str,
    version: int,
    shards: Any,
    results_by_shard: Mapping[str, bytes],
    lacking_by_shard: Mapping[str, str],
) -> Answer:
    """Omit shards without a result from the answer."""
    return build_answer(
        service, version, results_by_shard.keys(), results_by_shard, {}
    )


def no_lease(warmup: Warmup, *target_and_now: Any) -> bool:
    """Send to a cold target without a lease."""
    return True


def expired_lease(warmup: Warmup, target: str, now: float) -> bool:
    """Send to a cold target with an expired lease."""
    return warmup.is_warm(target) or target in warmup.lease_expiry_by_target


def expired_lease_slot(
    warmup: Warmup, target: Target, in_flight: int, now: float
) -> bool:
    """Use the cold slots of a target with an expired lease."""
    if warmup.is_warm(target.name):
        return True
    held = target.name in warmup.lease_expiry_by_target
    return held and in_flight < target.cold_slots


def no_ramp(warmup: Warmup, target: Target, in_flight: int, now: float) -> bool:
    """Send any number of requests to a cold target."""
    return warmup.is_warm_or_leased(target.name, now)


def no_withdrawals(
    shard: Shard,
    targets_by_name: Mapping[str, Target],
    withdrawn_domains: Collection[str],
    draining_targets: Collection[str],
) -> list[Target]:
    """Use the targets of withdrawn failure domains."""
    return usable_replicas(shard, targets_by_name, (), draining_targets)


def no_drains(
    shard: Shard,
    targets_by_name: Mapping[str, Target],
    withdrawn_domains: Collection[str],
    draining_targets: Collection[str],
) -> list[Target]:
    """Use draining targets."""
    return usable_replicas(shard, targets_by_name, withdrawn_domains, ())


def no_leaving(
    state: EngineState, shard: Shard, tried: Collection[str], now: float
) -> list[Target]:
    """Use a target that answered that it is draining."""
    return [
        target
        for target in replicas.usable_targets(state, shard)
        if target.name not in tried
        and state.warmup.is_warm_or_leased(target.name, now)
    ]


def recycled_identifier(
    state: EngineState, query_id: int, shard: str, target: str, now: float
) -> int:
    """Reuse the identifier of an attempt that has ended."""
    free = 1
    while free in state.attempts_by_id:
        free += 1
    state.last_attempt_id = free - 1
    return _open_attempt(state, query_id, shard, target, now)


def one_content(query: Any) -> tuple[str, str | None, bytes]:
    """Treat all queries as identical."""
    return ('', None, b'')


def not_run(query: QueryState) -> Verdict:
    """Give every refused query the verdict that it did not run."""
    return Verdict.NOT_RUN


def claim_held_by_another(
    state: ClaimReducerState,
    journal: JournalState,
    pending: PendingClaim,
    now: float,
) -> ClaimEffect:
    """Grant every claim, also one that another VM holds."""
    return commit._won(state, pending, now)


def take_over_always(
    state: ClaimReducerState, pending: PendingClaim, status: Any, now: float
) -> Any:
    """Take over an abandoned claim for a request of any age."""
    return claims._enqueue(state, pending, now)


def permit_always(
    sent: OneShotSent, failure: TargetFailed, target: str
) -> OneShotReady:
    """Return the permit although the target may have executed."""
    not_executed = replace(failure, may_have_run=False)
    ready = permits.returned_permit(sent, not_executed, target)
    assert ready is not None
    return ready


def drain_at_once(state: EngineState, effects: list[Effect]) -> None:
    """Finish a drain while requests are in flight."""
    effects.append(FinishDrain())


def _adopt_fleet(
    state: EngineState, event: FleetChanged, now: float, effects: list[Effect]
) -> None:
    state.fleet = event.fleet
    state.targets.apply_fleet(event.fleet)
    control._invalidate_caches(state)


any_generation = MappingProxyType(
    {**core._FUNCTION_BY_EVENT, FleetChanged: _adopt_fleet},
)
