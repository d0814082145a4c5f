"""Simulates the load of callers on a modelled deployment.

All entry VMs run the reducer of the dispatcher; targets, connections and time
are modelled, so that a run needs no network and repeats exactly for a seed.
"""

import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta
from functools import partial
from itertools import count
from random import Random
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch import (
    BudgetLimits,
    ColdLimits,
    DispatchLimits,
    DispatchState,
)
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    DomainsWithdrawn,
    TargetsListed,
    TargetsSuspected,
    VmsCounted,
)
from nutmegstep.dispatch.effects import DeliverMerged, DeliverRefusal
from nutmegstep.dispatch.events import RoutedRequest
from nutmegstep.experiment.fleet import (
    FleetModel,
    InjectedFault,
    QueryClass,
    ShardGroup,
)
from nutmegstep.experiment.report import ClassResult, Report
from nutmegstep.experiment.routes import (
    HOST,
    build_configuration,
    services_of,
)
from nutmegstep.experiment.simulation import Simulation
from nutmegstep.experiment.target import ModelTarget
from nutmegstep.experiment.vm import Delivery, ModelVm, Network

__all__ = ['run_experiment']

_WITHIN_DOMAIN_SECONDS: Final = 0.0001
"""One-way network latency within a failure domain."""
_WARM_UP_SECONDS: Final = 5.0
"""Load before results are counted: in this time the repeat budgets fill and the
latency estimates converge."""
_LEAD_SECONDS: Final = 12.0
"""Time between the start of the VMs and the start of the load."""
_DRAIN_SECONDS: Final = 10.0
"""Time after the end of the load in which open requests finish."""
_REPEAT_RATIO: Final = 0.2
"""Bound on extra sends as a share of the requests."""
_REPEAT_WINDOW: Final = timedelta(seconds=10)


def run_experiment(
    fleet: FleetModel,
    seconds: float,
    seed: int,
) -> Report:
    """Simulate a load and return the results of callers and targets.

    Parameters
    ----------
    fleet : FleetModel
        The deployment and its load.
    seconds : float
        Simulated length of the load that is counted; a warm-up of 5 s comes
        before it.
    seed : int
        Seed of all random draws.

    Returns
    -------
    Report
        Results by kind of request, decisions of the dispatchers and requests
        that targets received.
    """
    return _Experiment(fleet, seed).run(seconds)


class _Experiment:
    def __init__(self, fleet: FleetModel, seed: int) -> None:
        self.fleet = fleet
        self.random = Random(seed)
        self.simulation = Simulation()
        self.class_by_name = {
            query_class.name: query_class for query_class in fleet.classes
        }
        self.targets_by_id = {
            target.record.target_id: target for target in self._build_targets()
        }
        self.vms = [self._build_vm(number) for number in range(fleet.vms)]
        for vm in self.vms:
            vm.on_report = partial(self._share_suspicion, vm)
        self.results_by_class = {
            query_class.name: ClassResult() for query_class in fleet.classes
        }
        self.requests_by_service: Counter[str] = Counter()
        self.request_ids = count(1)

    def run(self, seconds: float) -> Report:
        for query_class in self.fleet.classes:
            self._schedule(query_class, _WARM_UP_SECONDS + seconds)
        self.simulation.run(_WARM_UP_SECONDS + seconds + _DRAIN_SECONDS)
        arrivals: Counter[str] = Counter()
        for target in self.targets_by_id.values():
            arrivals[target.record.service] += target.arrivals
        decisions = sum((vm.decisions for vm in self.vms), Counter())
        return Report(
            self.results_by_class,
            decisions,
            self.requests_by_service,
            arrivals,
        )

    def _schedule(self, query_class: QueryClass, until: float) -> None:
        gap = self.random.expovariate(query_class.per_second)
        if self.simulation.now + gap < until:
            self.simulation.call_later(
                gap, lambda: self._arrive(query_class, until)
            )

    def _arrive(self, query_class: QueryClass, until: float) -> None:
        self._schedule(query_class, until)
        vm = self.random.choice(self.vms)
        sent_at = self.simulation.now
        is_counted = sent_at >= _WARM_UP_SECONDS
        to_callers = self.fleet.to_callers.total_seconds()
        request_id = next(self.request_ids)
        request = RoutedRequest(
            request_id,
            str(request_id),
            b'GET',
            b'/',
            HOST,
            f'/{query_class.name}/',
            (),
            b'',
            query_class.timeout.total_seconds(),
            sent_at + to_callers,
        )
        services = services_of(self.fleet, query_class)
        self.requests_by_service.update(services)

        def deliver(delivery: Delivery) -> None:
            latency = self.simulation.now + to_callers - sent_at
            if is_counted:
                _record_result(
                    self.results_by_class[query_class.name],
                    query_class,
                    delivery,
                    latency,
                )

        self.simulation.call_later(
            to_callers, lambda: vm.submit(request, deliver)
        )

    def _build_targets(self) -> Iterator[ModelTarget]:
        for group in self.fleet.groups:
            targets = list(self._targets_of(group))
            faults = (
                fault
                for fault in self.fleet.faults
                if fault.group == group.name
            )
            for fault in faults:
                self._inject(fault, targets)
            yield from targets

    def _inject(
        self,
        fault: InjectedFault,
        targets: list[ModelTarget],
    ) -> None:
        affected = self.random.sample(
            targets,
            round(fault.share * len(targets)),
        )
        if fault.service:
            affected = [
                target
                for target in targets
                if target.record.service == fault.service
            ]
        start = fault.start + timedelta(seconds=_WARM_UP_SECONDS)
        for target in affected:
            target.inject(replace(fault, start=start))

    def _targets_of(self, group: ShardGroup) -> Iterator[ModelTarget]:
        domains = range(self.fleet.domains * group.targets_per_domain)
        for number in range(group.count):
            service = f'{group.name}-{number}'
            for place in domains:
                record = TargetRecord(
                    f'{service}-{place}',
                    service,
                    '127.0.0.1',
                    1,
                    f'domain-{place % self.fleet.domains}',
                    group.slots,
                    is_draining=False,
                    cold_until=0,
                    started_ms=0,
                )
                speed = group.speeds[(place + number) % len(group.speeds)]
                yield ModelTarget(
                    record, group, self.simulation, self.random, speed
                )

    def _build_vm(self, number: int) -> ModelVm:
        state = DispatchState(
            f'domain-{number % self.fleet.domains}',
            DispatchLimits(
                BudgetLimits(
                    _REPEAT_RATIO, self.fleet.repeat_slack, _REPEAT_WINDOW
                ),
                ColdLimits(1.5, 5),
                self.fleet.paces_returns,
            ),
            Random(self.random.getrandbits(32)),
            started=-_LEAD_SECONDS,
        )
        own, other = (
            _WITHIN_DOMAIN_SECONDS,
            self.fleet.between_domains.total_seconds(),
        )
        connect_by_service = {
            f'{group.name}-{place}': group.connect.total_seconds()
            for group in self.fleet.groups
            for place in range(group.count)
        }
        vm = ModelVm(
            state,
            self.simulation,
            Network(own, other, connect_by_service),
            self.targets_by_id,
            self._draw_service_time,
        )
        records = {
            name: target.record for name, target in self.targets_by_id.items()
        }
        in_domain = math.ceil(self.fleet.vms / self.fleet.domains)
        vm.dispatch(ConfigurationChanged(build_configuration(self.fleet)))
        vm.dispatch(TargetsListed(records))
        vm.dispatch(DomainsWithdrawn(frozenset()))
        vm.dispatch(VmsCounted(self.fleet.vms, in_domain))
        return vm

    def _share_suspicion(self, origin: ModelVm, target_id: str) -> None:
        event = TargetsSuspected((target_id,), str(id(origin)))
        domain = origin.state.own_domain
        neighbours = (
            vm
            for vm in self.vms
            if vm is not origin and vm.state.own_domain == domain
        )
        for vm in neighbours:
            self.simulation.call_later(
                _WITHIN_DOMAIN_SECONDS, partial(vm.dispatch, event)
            )

    def _draw_service_time(self, request: RoutedRequest) -> float:
        query_class = self.class_by_name[request.path.strip('/')]
        drawn = self.random.lognormvariate(
            -(query_class.spread**2) / 2, query_class.spread
        )
        if self.random.random() < query_class.tail_share:
            drawn *= query_class.tail_factor
        return query_class.service_time.total_seconds() * drawn


def _record_result(
    result: ClassResult,
    query_class: QueryClass,
    delivery: Delivery,
    latency: float,
) -> None:
    result.asked += 1
    result.owed += query_class.credit
    if isinstance(delivery, DeliverRefusal):
        result.refused += 1
        return
    share = 1.0
    if isinstance(delivery, DeliverMerged) and delivery.missing:
        covered = len(delivery.signatures)
        share = (covered / (covered + delivery.missing)) ** 2
        result.partial += 1
    result.latencies.append(latency)
    if latency <= query_class.target_latency.total_seconds():
        result.in_time += 1
        result.credit += query_class.credit * share
    else:
        result.late += 1
        result.credit += (
            query_class.credit * query_class.late_credit_share * share
        )
