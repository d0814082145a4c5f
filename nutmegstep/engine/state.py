"""State that the reducer owns."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from nutmegstep.model import (
    Fleet,
    IdempotentQuery,
    IndexVersion,
    OneShotRequest,
    SendPermit,
    Service,
    Shard,
)

__all__ = ['AttemptState', 'EngineState', 'QueryState', 'empty_fleet']


def empty_fleet() -> Fleet:
    """Return the configuration of a VM that has none yet."""
    return Fleet(0, {}, {}, 1, {})


@dataclass(slots=True)
class AttemptState:
    """One target request in flight."""

    query_id: int
    shard: str
    target: str
    started: float


@dataclass(slots=True)
class QueryState:
    """One query in flight.

    Parameters
    ----------
    query_id : int
        Identifier given by the runtime.
    request : IdempotentQuery or OneShotRequest
        What the caller asked for.
    service : Service
        Declaration at the time of arrival.
    version : int
        Pinned index version.
    shards_by_name : dict
        Shards that the answer must cover or list as lacking.
    """

    query_id: int
    request: IdempotentQuery | OneShotRequest
    service: Service
    version: int
    shards_by_name: dict[str, Shard]
    pending: set[str] = field(default_factory=set)
    results_by_shard: dict[str, bytes] = field(default_factory=dict)
    lacking_by_shard: dict[str, str] = field(default_factory=dict)
    tried_by_shard: dict[str, set[str]] = field(default_factory=dict)
    attempt_ids: set[int] = field(default_factory=set)
    permit: SendPermit | None = None


@dataclass(slots=True)
class EngineState:
    """Everything the reducer knows; changed in place by `reduce`."""

    failure_domain: str
    random: Random
    fleet: Fleet = field(default_factory=empty_fleet)
    versions_by_index: dict[str, tuple[IndexVersion, ...]] = field(
        default_factory=dict,
    )
    withdrawn_domains: frozenset[str] = frozenset()
    draining_targets: frozenset[str] = frozenset()
    queries_by_id: dict[int, QueryState] = field(default_factory=dict)
    attempts_by_id: dict[int, AttemptState] = field(default_factory=dict)
    in_flight_by_target: Counter[str] = field(default_factory=Counter)
    last_attempt_id: int = 0
    draining: bool = False
