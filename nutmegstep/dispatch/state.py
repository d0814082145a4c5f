"""State of the dispatcher and its records of requests and sends."""

import math
from dataclasses import dataclass, field
from datetime import timedelta
from functools import cache
from random import Random
from typing import Final

import xxhash

from nutmegstep.configuration import Configuration, Route, ServiceSpec
from nutmegstep.coordinators import CoordinatorChoice
from nutmegstep.discovery import TargetRecord, TargetRegistry
from nutmegstep.dispatch.budget import (
    BudgetLimits,
    RepeatBudget,
    token_savers,
)
from nutmegstep.dispatch.coordinator_health import CoordinatorHealth
from nutmegstep.dispatch.events import RoutedRequest, TargetReply
from nutmegstep.dispatch.health import TargetHealth
from nutmegstep.dispatch.latency import (
    INITIAL_INTERVAL,
    RequestInterval,
    RunningQuantile,
)
from nutmegstep.dispatch.reachability import DomainReachability
from nutmegstep.verdict import Verdict

__all__ = [
    'ColdLimits',
    'Delegation',
    'DispatchLimits',
    'DispatchState',
    'OpenRequest',
    'Part',
    'RouteLatency',
    'Send',
]

_HEDGE_PROBABILITY: Final = 0.95
"""Quantile of the latencies that is used as hedge delay."""
_MEDIAN: Final = 0.5
_INITIAL_MEDIAN_SHARE: Final = 0.2
"""Initial median of a route, as a share of its target latency."""
_INITIAL_HEDGE_SHARE: Final = 0.4
"""Initial hedge delay of a route, as a share of its target latency."""
_MAX_HEDGE_SHARE: Final = 0.4
"""Longest hedge delay, as a share of the target latency; the time that remains
must suffice for the reply of the second target."""
_MIN_HEDGE_MEDIANS: Final = 1.3
"""Shortest hedge delay, as a multiple of the median latency."""
_COORDINATORS_SHARE: Final = 0.7
"""Share of the bounds over all VMs that the coordinators use."""
_INITIAL_VM_COUNT: Final = 8
"""Number of VMs that is assumed until they are counted; the two deployments
have six and seven."""


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """Bound on the requests to a cold target, summed over all VMs.

    Parameters
    ----------
    overshoot : float
        Factor by which the declared rate is multiplied.
    slack : float
        Requests per second that are allowed in addition.
    """

    overshoot: float
    slack: float


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Bounds that the operators set for a deployment.

    Parameters
    ----------
    budget : BudgetLimits
        Bound on repeats and hedges.
    cold : ColdLimits
        Bound on requests to cold targets.
    """

    budget: BudgetLimits
    cold: ColdLimits


@cache
def _ring_offset(service: str) -> int:
    return xxhash.xxh3_64_intdigest(service.encode())


class RouteLatency:
    """Running latency estimates of the targets of one route.

    Parameters
    ----------
    target_latency : float
        Target latency of the route in seconds.
    """

    def __init__(self, target_latency: float) -> None:
        self._median = RunningQuantile(
            _MEDIAN,
            target_latency * _INITIAL_MEDIAN_SHARE,
        )
        self._hedge = RunningQuantile(
            _HEDGE_PROBABILITY,
            target_latency * _INITIAL_HEDGE_SHARE,
        )
        self._longest = target_latency * _MAX_HEDGE_SHARE

    @property
    def median(self) -> float:
        """Median latency in seconds."""
        return self._median.estimate

    @property
    def hedge_delay(self) -> float:
        """Time in seconds after which a second target is sent the request."""
        shortest = self._median.estimate * _MIN_HEDGE_MEDIANS
        return min(max(self._hedge.estimate, shortest), self._longest)

    def observe(self, seconds: float) -> None:
        """Add the latency of a reply in seconds."""
        self._median.observe(seconds)
        self._hedge.observe(min(seconds, self._longest * 2))


@dataclass(slots=True)
class Part:
    """Part of a request that is sent to one service.

    A request to several shards has one part per shard; any other request has
    a single part.

    Attributes
    ----------
    service : str
        Service that the part is sent to.
    pending_sends : set of int
        Identifiers of the sends without an outcome.
    tried_targets : set of str
        Identifiers of the targets that the part was sent to.
    possible_runs : int
        Number of sends whose targets run the request or may have run it.
    reply : TargetReply or None
        Usable reply.
    replied_at : float
        Monotonic time in seconds of the usable reply.
    failure : TargetReply or None
        Latest reply that is not usable.
    hedge_at : float
        Monotonic time in seconds at which a hedge is due; infinite if none is.
    is_stalled : bool
        Whether the part waits for a stalled target only.
    is_failed : bool
        Whether no reply is expected and the part is not sent again.
    """

    service: str
    pending_sends: set[int] = field(default_factory=set)
    tried_targets: set[str] = field(default_factory=set)
    possible_runs: int = 0
    reply: TargetReply | None = None
    replied_at: float = 0
    failure: TargetReply | None = None
    hedge_at: float = math.inf
    is_stalled: bool = False
    is_failed: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the part has neither a usable reply nor failed."""
        return self.reply is None and not self.is_failed


@dataclass(slots=True)
class Delegation:
    """Delegation of a request to a coordinator.

    Parameters
    ----------
    address : str
        ``host:port`` of the coordinator.
    accept_by : float
        Monotonic time in seconds by which the coordinator must confirm that it
        has read the request.
    take_over_at : float
        Monotonic time in seconds by which it must answer.
    is_accepted : bool
        Whether it has confirmed the request.
    """

    address: str
    accept_by: float
    take_over_at: float
    is_accepted: bool = False

    @property
    def due_at(self) -> float:
        """Monotonic time in seconds at which the coordinator is too late."""
        return self.take_over_at if self.is_accepted else self.accept_by


@dataclass(slots=True)
class OpenRequest:
    """Request that has not been answered.

    Attributes
    ----------
    request : RoutedRequest
        Request of the caller.
    route : Route
        Route of the request, from the configuration in force at its arrival.
    parts : tuple of Part
        Parts of the request, one per service that it is sent to.
    partial_answer_at : float
        Monotonic time in seconds from which a partial answer is sent although
        missing parts may still be answered.
    deadline : float
        Monotonic time in seconds by which the request is answered or refused.
    required : int
        Minimum number of parts with a usable reply in an answer.
    answered : int
        Number of parts with a usable reply.
    delegation : Delegation or None
        Coordinator that serves the request; None if this VM does.
    """

    request: RoutedRequest
    route: Route
    parts: tuple[Part, ...]
    partial_answer_at: float
    deadline: float
    required: int
    answered: int = 0
    delegation: Delegation | None = None

    @property
    def verdict(self) -> Verdict:
        """Whether a target may have run any part of the request."""
        may_have_run = any(part.possible_runs for part in self.parts)
        return Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN


@dataclass(frozen=True, slots=True)
class Send:
    """Send of one part to a target.

    Attributes
    ----------
    open_request : OpenRequest
        Request that the part belongs to.
    part : Part
        Part that was sent.
    target : TargetRecord
        Target that it was sent to.
    sent_at : float
        Monotonic time of the send in seconds.
    """

    open_request: OpenRequest
    part: Part
    target: TargetRecord
    sent_at: float


class DispatchState:
    """State that the handlers of the dispatcher share.

    Parameters
    ----------
    own_domain : str
        Failure domain of this VM.
    limits : DispatchLimits
        Bounds of the deployment.
    random : random.Random
        Random number generator.
    started : float, optional
        Monotonic time of the start in seconds; budgets fill from then on.

    Attributes
    ----------
    own_domain : str
        Failure domain of this VM.
    limits : DispatchLimits
        Bounds in force.
    random : random.Random
        Random number generator.
    configuration : Configuration or None
        Configuration in force; None until one has been read.
    registry : TargetRegistry
        Announced targets.
    has_targets : bool
        Whether a list of targets has been read.
    withdrawn_domains : frozenset of str
        Failure domains that get no requests.
    vm_count : int
        Number of all VMs, including this one.
    vms_in_domain : int
        Number of VMs in the failure domain of this VM, including this one.
    coordinators : CoordinatorChoice
        Coordinators of queries.
    coordinator_health : CoordinatorHealth
        Coordinators that are blocked after failures.
    open_by_id : dict
        Requests without an answer, by request identifier.
    sends_by_id : dict
        Pending sends, by send identifier.
    health_by_target : dict
        Health of targets, by target identifier.
    split_credits_by_route : dict
        For routes with several destinations, the round-robin credit of each
        service, by the name of the route.
    next_send_id : int
        Identifier of the next send.
    """

    def __init__(
        self,
        own_domain: str,
        limits: DispatchLimits,
        random: Random,
        started: float = 0,
    ) -> None:
        self.own_domain = own_domain
        self.limits = limits
        self.random = random
        self._started = started
        self.configuration: Configuration | None = None
        self.registry = TargetRegistry()
        self.has_targets = False
        self.withdrawn_domains: frozenset[str] = frozenset()
        self.vm_count = _INITIAL_VM_COUNT
        self.vms_in_domain = max(1, _INITIAL_VM_COUNT // 3)
        self.coordinators = CoordinatorChoice()
        self.coordinator_health = CoordinatorHealth()
        self.open_by_id: dict[int, OpenRequest] = {}
        self.sends_by_id: dict[int, Send] = {}
        self.health_by_target: dict[str, TargetHealth] = {}
        self.split_credits_by_route: dict[str, dict[str, float]] = {}
        self.next_send_id = 1
        self._budget_by_service: dict[str, RepeatBudget] = {}
        self._interval_by_service: dict[str, RequestInterval] = {}
        self._latency_by_route: dict[str, RouteLatency] = {}
        self._reachability_by_domain: dict[str, DomainReachability] = {}

    @property
    def is_ready(self) -> bool:
        """Whether a configuration and a list of targets have been read."""
        return self.configuration is not None and self.has_targets

    @property
    def bound_divisor(self) -> float:
        """Number of equal shares of a bound over all VMs; this VM has one.

        The coordinators send most requests and share most of each bound.
        """
        coordinators = self.coordinators.total
        others = self.vm_count - coordinators
        if not coordinators or others < 1:
            return self.vm_count
        if self.coordinators.is_coordinator:
            return coordinators / _COORDINATORS_SHARE
        return others / (1 - _COORDINATORS_SHARE)

    def spec_of(self, service: str) -> ServiceSpec:
        """Return the declaration of a service.

        A service that is not declared is given one connection per VM and no
        requests while its targets are cold, except for the slack.
        """
        declared = (
            self.configuration.services_by_name.get(service)
            if self.configuration
            else None
        )
        return declared or ServiceSpec(
            service,
            max_connections=self.vm_count,
            cold_period=timedelta(seconds=3),
            cold_rate=0,
        )

    def health_of(self, target: TargetRecord) -> TargetHealth:
        """Return the health of a target; it is reset for a new incarnation."""
        health = self.health_by_target.get(target.target_id)
        if health is None or health.started_ms != target.started_ms:
            health = TargetHealth(target.started_ms)
            self.health_by_target[target.target_id] = health
        return health

    def replace_limits(self, limits: DispatchLimits) -> None:
        """Replace the bounds, also those of existing budgets."""
        self.limits = limits
        for service, budget in self._budget_by_service.items():
            budget.limits = limits.budget
            budget.may_save_token = self._may_save_token(service)

    def budget_of(self, service: str) -> RepeatBudget:
        """Return the budget for repeats and hedges of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(self.limits.budget, self._started)
            self._budget_by_service[service] = budget
        budget.may_save_token = self._may_save_token(service)
        return budget

    def record_request(self, service: str, now: float) -> None:
        """Add a request to the mean request interval of its service."""
        interval = self._interval_by_service.get(service)
        if interval is None:
            self._interval_by_service[service] = RequestInterval(now)
        else:
            interval.observe(now)

    def request_interval_of(self, service: str) -> float:
        """Return the mean time in seconds between requests for a service."""
        interval = self._interval_by_service.get(service)
        return INITIAL_INTERVAL if interval is None else interval.mean

    def reachability_of(self, failure_domain: str) -> DomainReachability:
        """Return the reachability estimate of a failure domain."""
        known = self._reachability_by_domain.get(failure_domain)
        if known is None:
            known = DomainReachability()
            self._reachability_by_domain[failure_domain] = known
        return known

    def latency_of(self, route: Route) -> RouteLatency:
        """Return the latency estimates of a route."""
        latency = self._latency_by_route.get(route.name)
        if latency is None:
            latency = RouteLatency(route.target_latency.total_seconds())
            self._latency_by_route[route.name] = latency
        return latency

    @property
    def _peers(self) -> int:
        """Number of VMs that have the same share of a bound as this one."""
        if self.coordinators.is_coordinator:
            return self.coordinators.total
        return self.vm_count - self.coordinators.total

    def _may_save_token(self, service: str) -> bool:
        # The VMs that may save a token are neighbours on a ring, and each
        # service starts at another place of it.
        peers = max(1, self._peers)
        savers = token_savers(
            self.limits.budget, min(1, peers / self.bound_divisor)
        )
        place = self.coordinators.rank + _ring_offset(service)
        return place % peers < savers
