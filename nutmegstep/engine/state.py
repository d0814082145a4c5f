"""State of the reducer."""

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
from nutmegstep.snapshot import ShardMapCache, VersionHolders
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
    """Return the configuration of a VM that has not received one yet."""
    return Fleet(0, {}, {}, 1, {})


@dataclass(slots=True)
class AttemptState:
    """One target request in flight.

    Parameters
    ----------
    query_id : int
        Query or one-shot request that the attempt belongs to.
    shard : str
        Name of the shard.
    target : str
        Name of the target.
    started : float
        Monotonic time of the send in seconds.
    """

    query_id: int
    shard: str
    target: str
    started: float


@dataclass(slots=True)
class QueryState:
    """One idempotent query that is queued or in flight.

    Identical queries of several callers share one state.

    Parameters
    ----------
    query_id : int
        Number that the runtime gave to the request of the first caller.
    request : IdempotentQuery
        Request of the first caller.
    service : Service
        Declaration of the service at the time of arrival.
    deadline : float
        Latest deadline of the callers, as monotonic time in seconds.
    latency_window : LatencyWindow
        Recent latencies of target requests of the service.
    cost : int
        Number of shard requests for which admission counts the query.
    arrived_at : float
        Monotonic time of the arrival in seconds.
    queued : bool
        Whether the query waits in the admission queue.
    callers : dict
        Request identifiers of the callers that wait for the reply, by the
        number that the runtime gave to each caller's request.
    version : int
        Pinned index version; 0 before the start.
    shards_by_name : dict
        Shards that the answer must cover or list as lacking.
    pending_shards : dict
        Names of the shards without an outcome, in the order of the shard map.
    waiting_shards : set of str
        Pending shards that wait for a free slot of a target.
    hedged_shards : set of str
        Shards for which a hedge or a probe was sent.
    hedge_rounds : int
        How often the hedge timer has expired at the pinned version.
    results_by_shard : dict
        JSON document of each shard that answered.
    lacking_by_shard : dict
        Reason for each shard without a result.
    tried_targets_by_shard : dict
        Targets to which each shard was sent at the pinned version.
    attempt_ids : set of int
        Attempts in flight.
    tried_versions : set of int
        Index versions at which the query was started.
    may_have_run : bool
        Whether a target may have executed an attempt that is not in flight
        any more.
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
    """A one-shot (non-idempotent) request whose claim is not decided yet.

    It has no permit and cannot be sent.
    """

    query_id: int
    request: OneShotRequest


@dataclass(frozen=True, slots=True)
class OneShotReady:
    """A one-shot request that may be sent once.

    Parameters
    ----------
    query_id : int
        Number that the runtime gave to the request.
    request : OneShotRequest
        Request of the caller.
    permit : SendPermit
        Right to send the request, from the won claim.
    tried_targets : frozenset of str
        Targets that received the request and did not execute it.

    Notes
    -----
    Built only when the claim is won, or from a send that the target is known
    not to have executed; see `nutmegstep.engine.permits.returned_permit`.
    """

    query_id: int
    request: OneShotRequest
    permit: SendPermit
    tried_targets: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class OneShotSent:
    """A one-shot request that a target may have executed.

    Parameters
    ----------
    query_id : int
        Number that the runtime gave to the request.
    request : OneShotRequest
        Request of the caller.
    attempt_id : int
        Attempt in flight.
    version : int
        Index version of the attempt.
    consumed : OneShotReady
        The request before the send, with its permit.

    Notes
    -----
    `nutmegstep.engine.permits.send_once` takes only `OneShotReady`, so that
    sending this request a second time is a type error.
    """

    query_id: int
    request: OneShotRequest
    attempt_id: int
    version: int
    consumed: OneShotReady


OneShotState = OneShotClaiming | OneShotReady | OneShotSent


@dataclass(slots=True)
class EngineState:
    """State of the reducer; changed in place by `reduce`.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this VM.
    random : random.Random
        The only source of random numbers.
    fleet : Fleet
        Configuration in force.
    versions_by_index : dict
        Versions of each index in the catalogue.
    withdrawn_domains : frozenset of str
        Failure domains taken out of service.
    draining_targets : frozenset of str
        Targets that operators drain.
    withdrawn_since : float or None
        Monotonic time in seconds at which the failure domain of this VM was
        withdrawn; None while it is in service.
    queries_by_id : dict
        Queries that are queued or in flight.
    query_by_caller : dict
        Query that each caller's request belongs to, by the number that the
        runtime gave to that request.
    query_by_content : dict
        Query that an identical one joins, by service, record key and body.
    admission : AdmissionController
        Queued queries and the load of each service.
    limit_by_service : dict
        Cached concurrency limit of each service, with the monotonic time in
        seconds until which it is used.
    recheck_queue : bool
        Whether a queued query may be able to start now.
    one_shots_by_id : dict
        One-shot requests that have not ended.
    abandoned_claims : set of int
        One-shot requests that ended before their claim was decided. A claim
        that is still won must be released.
    attempts_by_id : dict
        Target requests in flight.
    targets : TargetTable
        Latency and concurrency limit of each target.
    warmup : Warmup
        Which targets are warm, and the leases of this VM for cold ones.
    latency_window_by_service : dict
        Recent latencies of target requests of each service.
    waiting_by_target : dict
        Requests that wait for a slot of each target, as pairs of query
        identifier and shard, oldest first.
    targets_with_freed_slot : list of str
        Targets whose slots became free and were not given away yet.
    recheck_waiting : bool
        Whether all waiting requests must be checked again.
    hedges : TokenBudget
        Budget of hedges and probes.
    version_holders : VersionHolders
        Which targets hold which index versions.
    shard_maps : ShardMapCache
        Cached shard map of each service.
    usable_targets_by_replicas : dict
        Cached replicas that are neither withdrawn nor draining, by all
        replicas of a shard.
    retries : TokenBudget
        Budget of retries.
    restarts : TokenBudget
        Budget of restarts at another index version.
    last_attempt_id : int
        Highest attempt identifier that was used.
    draining : bool
        Whether a stop of the process was requested.
    drain_finished : bool
        Whether `FinishDrain` was returned.
    explanations : collections.deque
        Latest refused, partial and slow requests.
    leaving_until_by_target : dict
        Monotonic time in seconds until which a target that answered that it
        is draining receives no new request.
    """

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
