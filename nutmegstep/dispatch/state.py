"""State of the dispatcher."""

import math
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Final

from nutmegstep.configuration import Configuration, Route, ServiceSpec
from nutmegstep.discovery import TargetRecord, TargetRegistry
from nutmegstep.dispatch.budget import BudgetLimits, RepeatBudget
from nutmegstep.dispatch.events import RoutedRequest, TargetReply
from nutmegstep.dispatch.health import TargetHealth
from nutmegstep.dispatch.latency import (
    INITIAL_INTERVAL,
    RequestInterval,
    RunningQuantile,
)
from nutmegstep.dispatch.reachability import DomainReachability

__all__ = [
    'ColdLimits',
    'DispatchLimits',
    'DispatchState',
    'OpenRequest',
    'Part',
    'RouteLatency',
    'Send',
]

_HEDGE_PROBABILITY: Final = 0.95
"""Quantile of latencies after which a second target is asked."""
_MEDIAN: Final = 0.5
_FIRST_MEDIAN_SHARE: Final = 0.2
"""Median of a route without samples, as a share of its target latency."""
_FIRST_HEDGE_SHARE: Final = 0.4
"""Hedge delay of a route without samples, as a share of its target latency."""
_HEDGE_MAX_SHARE: Final = 0.4
"""Longest hedge delay as a share of the target latency: what remains must
suffice for the second target."""
_HEDGE_MIN_MEDIANS: Final = 1.3
"""Shortest hedge delay in medians."""
_VM_COUNT_UNKNOWN: Final = 8
"""Number of VMs that is assumed until they have been counted; the two
deployments have six and seven."""


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """Load that a cold target bears, summed over all VMs.

    Parameters
    ----------
    overshoot : float
        Factor on the declared rate.
    slack : float
        Requests per second in addition.
    """

    overshoot: float
    slack: float


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Bounds that the operators set for a deployment."""

    budget: BudgetLimits
    cold: ColdLimits


class RouteLatency:
    """Latencies of the targets of one route.

    Parameters
    ----------
    target_latency : float
        Seconds within which an answer is worth most.
    """

    def __init__(self, target_latency: float) -> None:
        self._median = RunningQuantile(
            _MEDIAN,
            target_latency * _FIRST_MEDIAN_SHARE,
        )
        self._hedge = RunningQuantile(
            _HEDGE_PROBABILITY,
            target_latency * _FIRST_HEDGE_SHARE,
        )
        self._longest = target_latency * _HEDGE_MAX_SHARE

    @property
    def median(self) -> float:
        """Median of the latencies in seconds."""
        return self._median.estimate

    @property
    def hedge_delay(self) -> float:
        """Seconds after which a second target is asked."""
        shortest = self._median.estimate * _HEDGE_MIN_MEDIANS
        return min(max(self._hedge.estimate, shortest), self._longest)

    def observe(self, seconds: float) -> None:
        """Take the latency of a target."""
        self._median.observe(seconds)
        self._hedge.observe(min(seconds, self._longest * 2))


@dataclass(slots=True)
class Part:
    """One shard of a request, or the whole of it.

    Attributes
    ----------
    service : str
        Service that is asked.
    pending_sends : set of int
        Sends without an outcome.
    tried_targets : set of str
        Targets that were asked.
    possible_runs : int
        Targets that may have run the request.
    reply : TargetReply or None
        Usable answer.
    replied_at : float
        Monotonic instant of the usable answer.
    failure : TargetReply or None
        Latest reply that is not usable.
    hedge_at : float
        Monotonic instant at which another target is asked.
    is_stalled : bool
        Whether only targets that do not answer were left to ask.
    is_failed : bool
        Whether no target is left to ask.
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
        """Whether an answer of the part can still come."""
        return self.reply is None and not self.is_failed


@dataclass(slots=True)
class OpenRequest:
    """A request that has not been answered.

    Attributes
    ----------
    request : RoutedRequest
        The request.
    route : Route
        Route of the version under which it started.
    parts : tuple of Part
        Its shards.
    partial_answer_at : float
        Monotonic instant until which a partial answer is held back.
    deadline : float
        Monotonic instant of the final answer at the latest.
    required : int
        Smallest number of parts of an answer.
    answered : int
        Parts with a usable answer.
    """

    request: RoutedRequest
    route: Route
    parts: tuple[Part, ...]
    partial_answer_at: float
    deadline: float
    required: int
    answered: int = 0


@dataclass(frozen=True, slots=True)
class Send:
    """A request on its way to a target."""

    open_request: OpenRequest
    part: Part
    target: TargetRecord
    sent_at: float


class DispatchState:
    """Everything that the dispatcher knows.

    Parameters
    ----------
    own_domain : str
        Failure domain of this VM.
    limits : DispatchLimits
        Bounds of the deployment.
    random : random.Random
        Source of randomness.
    started : float, optional
        Monotonic instant of the start; budgets fill from then on.
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
        self.vm_count = _VM_COUNT_UNKNOWN
        self.vms_in_domain = max(1, _VM_COUNT_UNKNOWN // 3)
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
        """Whether requests can be served."""
        return self.configuration is not None and self.has_targets

    def spec_of(self, service: str) -> ServiceSpec:
        """Return the declaration of a service, or a cautious one."""
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
        """Return the learned state of a target's incarnation."""
        health = self.health_by_target.get(target.target_id)
        if health is None or health.started_ms != target.started_ms:
            health = TargetHealth(target.started_ms)
            self.health_by_target[target.target_id] = health
        return health

    def replace_limits(self, limits: DispatchLimits) -> None:
        """Put other bounds in force, for budgets in use too."""
        self.limits = limits
        for budget in self._budget_by_service.values():
            budget.limits = limits.budget

    def budget_of(self, service: str) -> RepeatBudget:
        """Return the budget of repeats of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(self.limits.budget, self._started)
            self._budget_by_service[service] = budget
        return budget

    def record_request(self, service: str, now: float) -> None:
        """Take a request for a service into its pace."""
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
        """Return whether a failure domain can be reached."""
        known = self._reachability_by_domain.get(failure_domain)
        if known is None:
            known = DomainReachability()
            self._reachability_by_domain[failure_domain] = known
        return known

    def latency_of(self, route: Route) -> RouteLatency:
        """Return the latencies of a route."""
        latency = self._latency_by_route.get(route.name)
        if latency is None:
            latency = RouteLatency(route.target_latency.total_seconds())
            self._latency_by_route[route.name] = latency
        return latency
