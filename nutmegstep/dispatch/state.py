"""State of the dispatcher."""

import math
from datetime import timedelta
from random import Random
from typing import Final

from nutmegstep.configuration import Configuration, Route, ServiceSpec
from nutmegstep.discovery import TargetRecord, TargetRegistry
from nutmegstep.dispatch.account_state import AccountLimits
from nutmegstep.dispatch.budget import RepeatBudget, token_savers
from nutmegstep.dispatch.coordinator_health import CoordinatorHealth
from nutmegstep.dispatch.crashes import CrashRecords
from nutmegstep.dispatch.fleet import FleetShare
from nutmegstep.dispatch.health import TargetHealth
from nutmegstep.dispatch.latency import INITIAL_INTERVAL, RequestInterval
from nutmegstep.dispatch.limits import DispatchLimits
from nutmegstep.dispatch.losses import Losses
from nutmegstep.dispatch.reachability import DomainReachability
from nutmegstep.dispatch.request_limits import RequestLimits
from nutmegstep.dispatch.requests import OpenRequest, Send
from nutmegstep.dispatch.rollout_state import Rollouts
from nutmegstep.dispatch.route_latency import RouteLatency

__all__ = ['DispatchState']

_MAX_REFRESH_SECONDS: Final = 1.0
"""Longest time after a pause for which nothing is sent. If the store has not
been read again by then, it is unreachable, and what is known must do."""
_CONNECT_SECONDS: Final = 0.03
"""Time in which a target of any failure domain accepts a connection."""


class DispatchState(FleetShare):
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
    own_name : str, optional
        Name of this VM.

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
    configuration_read_at : float
        Monotonic time in seconds at which the store last said which version of
        the configuration is the newest.
    has_targets : bool
        Whether a list of targets has been read.
    refresh_until : float
        Monotonic time in seconds until which nothing is sent, because the
        process was paused and the store has not been read again.
    stops_at : float
        Monotonic time in seconds at which this VM stops; infinite if it does not.
    withdrawn_domains : frozenset of str
        Failure domains that get no requests.
    stored_withdrawals : frozenset of str
        Withdrawn failure domains according to the store.
    keep_withdrawals_until : float
        Monotonic time in seconds until which a withdrawal stays in force
        although the store does not hold it.
    coordinator_health : CoordinatorHealth
        Coordinators that are blocked after failures.
    open_by_id : dict
        Requests without an answer, by request identifier.
    sends_by_id : dict
        Pending sends, by send identifier.
    health_by_target : dict
        Health of targets, by target identifier.
    failing_targets : set of str
        Targets that have not replied since any target did.
    links_suspected_at : float
        Monotonic time in seconds at which the links to all targets became
        suspect; infinite while they are not.
    targets_lost_at : float
        Monotonic time in seconds at which contact with all targets was lost;
        infinite while any is reachable.
    contact_at : float
        Monotonic time in seconds at which a target was last reached.
    links_tested_at : float
        Monotonic time in seconds of the latest test of the links.
    substitutes_useless_until : float
        Monotonic time in seconds until which unsent requests are not passed to
        other VMs, as those reach no more targets.
    request_limits : RequestLimits
        Limits that targets have stated in their replies.
    losses : Losses
        Targets that closed a connection without a response.
    crashes : CrashRecords
        Content that was in flight on crashed targets.
    rollouts : Rollouts
        Roll-outs of new versions.
    account_limits : AccountLimits
        Shares and tokens of the limits of client accounts.
    split_credits_by_route : dict
        Round-robin credit of each service, by the name of the route.
    next_send_id : int
        Identifier of the next send.
    """

    def __init__(
        self,
        own_domain: str,
        limits: DispatchLimits,
        random: Random,
        started: float = 0,
        own_name: str = '',
    ) -> None:
        super().__init__(own_name)
        self.own_domain = own_domain
        self.limits = limits
        self.random = random
        self._started = started
        self.configuration: Configuration | None = None
        self.configuration_read_at = -math.inf
        self.registry = TargetRegistry()
        self.has_targets = False
        self.refresh_until = float(0)
        self.stops_at = math.inf
        self.withdrawn_domains: frozenset[str] = frozenset()
        self.stored_withdrawals: frozenset[str] = frozenset()
        self.keep_withdrawals_until = float(0)
        self.coordinator_health = CoordinatorHealth()
        self.open_by_id: dict[int, OpenRequest] = {}
        self.sends_by_id: dict[int, Send] = {}
        self.health_by_target: dict[str, TargetHealth] = {}
        self.failing_targets: set[str] = set()
        self.links_suspected_at = math.inf
        self.targets_lost_at = math.inf
        self.contact_at = -math.inf
        self.links_tested_at = -math.inf
        self.substitutes_useless_until = float(0)
        self.request_limits = RequestLimits(
            self.phase_of, lambda: self.bound_divisor
        )
        self.losses = Losses()
        self.crashes = CrashRecords()
        self.rollouts = Rollouts(random.random)
        self.rollouts.limits = limits.exposure
        self.account_limits = AccountLimits()
        self.split_credits_by_route: dict[str, dict[str, float]] = {}
        self.next_send_id = 1
        self._budget_by_service: dict[str, RepeatBudget] = {}
        self._interval_by_service: dict[str, RequestInterval] = {}
        self._latency_by_route: dict[str, RouteLatency] = {}
        self._reachability_by_domain: dict[str, DomainReachability] = {}

    @property
    def is_ready(self) -> bool:
        """Whether all has been read without which a target may not be chosen."""
        has_orders = self.rollouts.limits is None or self.rollouts.is_listed
        has_targets = self.has_targets and has_orders
        return self.configuration is not None and has_targets

    @property
    def has_lost_targets(self) -> bool:
        """Whether this VM reaches no target."""
        return self.targets_lost_at < math.inf

    def avoids_links(self, now: float) -> bool:
        """Return whether requests are passed on rather than sent to targets.

        A test of working links ends the suspicion within the time of a
        connection.
        """
        return now >= self.links_suspected_at + _CONNECT_SECONDS

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

    def require_refresh(self, now: float) -> None:
        """Send nothing until the store has been read again."""
        self.refresh_until = now + _MAX_REFRESH_SECONDS

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
        self.rollouts.limits = limits.exposure
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

    def _may_save_token(self, service: str) -> bool:
        # The VMs that may save a token are neighbours on a ring, and each
        # service starts at another place of it.
        peers = self.peers
        savers = token_savers(
            self.limits.budget, min(1, peers / self.bound_divisor)
        )
        return self.place_of(service) < savers
