"""Plays a load on a modelled fleet."""

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
from nutmegstep.dispatch import ColdLimits, DispatchLimits, DispatchState
from nutmegstep.dispatch.budget import BudgetLimits
from nutmegstep.dispatch.effects import DeliverMerged, DeliverRefusal
from nutmegstep.dispatch.events import (
    ConfigurationChanged,
    DomainsWithdrawn,
    RoutedRequest,
    TargetsListed,
    TargetsSuspected,
    VmsCounted,
)
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
from nutmegstep.experiment.target import ModelTarget
from nutmegstep.experiment.vm import Delivery, ModelVm, Network
from nutmegstep.experiment.world import World

__all__ = ['run_experiment']

_WITHIN_DOMAIN: Final = 0.0001
"""Seconds one way within a failure domain."""
_WARM_UP: Final = 5.0
"""Seconds of load before results count: budgets and estimates fill."""
_LEAD: Final = 12.0
"""Seconds between the start of the VMs and the load."""
_SECONDS_AFTER: Final = 10.0
_RATIO: Final = 0.2
_WINDOW: Final = timedelta(seconds=10)


def run_experiment(
    fleet: FleetModel,
    seconds: float,
    seed: int,
) -> Report:
    """Play a load and return what callers and targets saw.

    Parameters
    ----------
    fleet : FleetModel
        The deployment.
    seconds : float
        Length of the load that counts, after a warm-up.
    seed : int
        Seed of all random draws.
    """
    return _Experiment(fleet, seed).run(seconds)


class _Experiment:
    def __init__(self, fleet: FleetModel, seed: int) -> None:
        self.fleet = fleet
        self.random = Random(seed)
        self.world = World()
        self.class_by_name = {one.name: one for one in fleet.classes}
        self.targets_by_id = {
            target.record.target_id: target for target in self._build_targets()
        }
        self.vms = [self._build_vm(number) for number in range(fleet.vms)]
        for vm in self.vms:
            vm.on_report = partial(self._spread, vm)
        self.results_by_class = {
            one.name: ClassResult() for one in fleet.classes
        }
        self.requests_by_service: Counter[str] = Counter()
        self.request_ids = count(1)

    def run(self, seconds: float) -> Report:
        for one in self.fleet.classes:
            self._schedule(one, _WARM_UP + seconds)
        self.world.run(_WARM_UP + seconds + _SECONDS_AFTER)
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

    def _schedule(self, one: QueryClass, until: float) -> None:
        gap = self.random.expovariate(one.per_second)
        if self.world.now + gap < until:
            self.world.after(gap, lambda: self._arrive(one, until))

    def _arrive(self, one: QueryClass, until: float) -> None:
        self._schedule(one, until)
        vm = self.random.choice(self.vms)
        asked = self.world.now
        counts = asked >= _WARM_UP
        to_callers = self.fleet.to_callers.total_seconds()
        request_id = next(self.request_ids)
        request = RoutedRequest(
            request_id,
            str(request_id),
            b'GET',
            b'/',
            HOST,
            f'/{one.name}/',
            (),
            b'',
            one.timeout.total_seconds(),
            asked + to_callers,
        )
        services = services_of(self.fleet, one)
        self.requests_by_service.update(services)

        def deliver(delivery: Delivery) -> None:
            latency = self.world.now + to_callers - asked
            if counts:
                _count(self.results_by_class[one.name], one, delivery, latency)

        self.world.after(to_callers, lambda: vm.ask(request, deliver))

    def _build_targets(self) -> Iterator[ModelTarget]:
        for group in self.fleet.groups:
            targets = list(self._group_targets(group))
            faults = (
                one for one in self.fleet.faults if one.group == group.name
            )
            for fault in faults:
                self._inject(fault, targets)
            yield from targets

    def _inject(
        self,
        fault: InjectedFault,
        targets: list[ModelTarget],
    ) -> None:
        hit = self.random.sample(
            targets,
            round(fault.share * len(targets)),
        )
        if fault.service:
            hit = [
                target
                for target in targets
                if target.record.service == fault.service
            ]
        start = fault.start + timedelta(seconds=_WARM_UP)
        for target in hit:
            target.inject(replace(fault, start=start))

    def _group_targets(self, group: ShardGroup) -> Iterator[ModelTarget]:
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
                yield ModelTarget(record, group, self.world, self.random)

    def _build_vm(self, number: int) -> ModelVm:
        state = DispatchState(
            f'domain-{number % self.fleet.domains}',
            DispatchLimits(
                BudgetLimits(_RATIO, self.fleet.repeat_slack, _WINDOW),
                ColdLimits(1.5, 5),
            ),
            Random(self.random.getrandbits(32)),
            started=-_LEAD,
        )
        own, other = _WITHIN_DOMAIN, self.fleet.between_domains.total_seconds()
        connect_by_service = {
            f'{group.name}-{place}': group.connect.total_seconds()
            for group in self.fleet.groups
            for place in range(group.count)
        }
        vm = ModelVm(
            state,
            self.world,
            Network(own, other, connect_by_service),
            self.targets_by_id,
            self._draw_work,
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

    def _spread(self, origin: ModelVm, target_id: str) -> None:
        event = TargetsSuspected((target_id,), str(id(origin)))
        domain = origin.state.own_domain
        neighbours = (
            vm
            for vm in self.vms
            if vm is not origin and vm.state.own_domain == domain
        )
        for vm in neighbours:
            self.world.after(_WITHIN_DOMAIN, partial(vm.dispatch, event))

    def _draw_work(self, request: RoutedRequest) -> float:
        one = self.class_by_name[request.path.strip('/')]
        drawn = self.random.lognormvariate(-(one.spread**2) / 2, one.spread)
        if self.random.random() < one.tail_share:
            drawn *= one.tail_factor
        return one.work.total_seconds() * drawn


def _count(
    result: ClassResult,
    one: QueryClass,
    delivery: Delivery,
    latency: float,
) -> None:
    result.asked += 1
    result.owed += one.worth
    if isinstance(delivery, DeliverRefusal):
        result.refused += 1
        return
    share = 1.0
    if isinstance(delivery, DeliverMerged) and delivery.missing:
        covered = len(delivery.signatures)
        share = (covered / (covered + delivery.missing)) ** 2
        result.partial += 1
    result.latencies.append(latency)
    if latency <= one.target_latency.total_seconds():
        result.in_time += 1
        result.credit += one.worth * share
    else:
        result.late += 1
        result.credit += one.worth * one.late_worth * share
