"""State that the reducer owns."""

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Final

from nutmegstep.admission import AdmissionController
from nutmegstep.engine.explanation import Explanation
from nutmegstep.hedging import (
    HEDGE_SHARE,
    RESTART_SHARE,
    RETRY_SHARE,
    LatencyWindow,
    TokenBudget,
)
from nutmegstep.model import (
    Fleet,
    IdempotentQuery,
    IndexVersion,
    OneShotRequest,
    SendPermit,
    Service,
    Shard,
    Target,
)
from nutmegstep.routing import TargetTable
from nutmegstep.snapshot import VersionHolders, ShardMapCache
from nutmegstep.warmup import Warmup

__all__ = [
    'AttemptState',
    'EngineState',
    'OneShotClaiming',
    'OneShotReady',
    'OneShotSent',
    'OneShotState',
    'QueryState',
    'empty_fleet',
]


_MAX_EXPLANATIONS: Final = 512


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
    """One idempotent query in flight.

    Parameters
    ----------
    query_id : int
        Identifier given by the runtime.
    request : IdempotentQuery
        What the caller asked for.
    service : Service
        Declaration at the time of arrival.
    deadline : float
        Latest deadline of the callers.
    latency_window : LatencyWindow
        Latencies of the service.
    cost : int
        Shard requests that admission counts.
    arrived_at : float
        Monotonic instant of the arrival in seconds.
    queued : bool
        Whether the query still waits for its start.
    callers : dict
        Request identifier of each caller that waits for the answer.
    version : int
        Pinned index version.
    shards_by_name : dict
        Shards that the answer must cover or list as lacking.
    """

    query_id: int
    request: IdempotentQuery
    service: Service
    deadline: float
    latency_window: LatencyWindow
    cost: int = 1
    arrived_at: float = 0
    queued: bool = False
    callers: dict[int, str] = field(default_factory=dict)
    version: int = 0
    shards_by_name: dict[str, Shard] = field(default_factory=dict)
    pending_shards: dict[str, None] = field(default_factory=dict)
    waiting_shards: set[str] = field(default_factory=set)
    hedged_shards: set[str] = field(default_factory=set)
    hedge_rounds: int = 0
    results_by_shard: dict[str, bytes] = field(default_factory=dict)
    lacking_by_shard: dict[str, str] = field(default_factory=dict)
    tried_targets_by_shard: dict[str, set[str]] = field(default_factory=dict)
    attempt_ids: set[int] = field(default_factory=set)
    tried_versions: set[int] = field(default_factory=set)
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class OneShotClaiming:
    """A one-shot request that waits for its claim; it cannot be sent."""

    query_id: int
    request: OneShotRequest


@dataclass(frozen=True, slots=True)
class OneShotReady:
    """A one-shot request that may be sent once.

    Notes
    -----
    Only a won claim, or the proof that the earlier send was not executed,
    builds it; see `nutmegstep.engine.one_shot`.
    """

    query_id: int
    request: OneShotRequest
    permit: SendPermit
    tried_targets: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class OneShotSent:
    """A one-shot request that a target may have executed.

    Notes
    -----
    The permit is inside `consumed` and the send function does not take this
    type, so a second send does not pass the type check.
    """

    query_id: int
    request: OneShotRequest
    attempt_id: int
    version: int
    consumed: OneShotReady


OneShotState = OneShotClaiming | OneShotReady | OneShotSent


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
    withdrawn_since: float | None = None
    queries_by_id: dict[int, QueryState] = field(default_factory=dict)
    query_by_caller: dict[int, QueryState] = field(default_factory=dict)
    query_by_content: dict[
        tuple[str, str | None, bytes],
        QueryState,
    ] = field(default_factory=dict)
    admission: AdmissionController = field(default_factory=AdmissionController)
    limit_by_service: dict[str, tuple[int, float]] = field(
        default_factory=dict,
    )
    recheck_queue: bool = False
    one_shots_by_id: dict[int, OneShotState] = field(default_factory=dict)
    abandoned_claims: set[int] = field(default_factory=set)
    attempts_by_id: dict[int, AttemptState] = field(default_factory=dict)
    targets: TargetTable = field(default_factory=TargetTable)
    warmup: Warmup = field(default_factory=Warmup)
    latency_window_by_service: dict[str, LatencyWindow] = field(
        default_factory=dict
    )
    waiting_by_target: dict[str, dict[tuple[int, str], None]] = field(
        default_factory=dict,
    )
    targets_with_freed_slot: list[str] = field(default_factory=list)
    recheck_waiting: bool = False
    hedges: TokenBudget = field(
        default_factory=lambda: TokenBudget(HEDGE_SHARE),
    )
    version_holders: VersionHolders = field(default_factory=VersionHolders)
    shard_maps: ShardMapCache = field(default_factory=ShardMapCache)
    usable_targets_by_replicas: dict[tuple[str, ...], list[Target]] = field(
        default_factory=dict,
    )
    retries: TokenBudget = field(
        default_factory=lambda: TokenBudget(RETRY_SHARE),
    )
    restarts: TokenBudget = field(
        default_factory=lambda: TokenBudget(RESTART_SHARE),
    )
    last_attempt_id: int = 0
    draining: bool = False
    drain_finished: bool = False
    explanations: deque[Explanation] = field(
        default_factory=lambda: deque(maxlen=_MAX_EXPLANATIONS),
    )
    leaving_until_by_target: dict[str, float] = field(default_factory=dict)
