"""Versions that never go back, and requests under their own version."""

from dataclasses import replace
from datetime import timedelta

from nutmegstep.dispatch.budget import BudgetLimits
from nutmegstep.dispatch.effects import DeliverRefusal, DropTarget
from nutmegstep.dispatch.events import (
    ConfigurationChanged,
    StoreRecovered,
    TargetAnnounced,
    TargetRemoved,
    TargetsListed,
    VmsCounted,
)
from nutmegstep.verdict import Reason, Verdict
from tests.dispatch.conftest import Dispatcher, configuration, records


def test_older_version_never_replaces_a_newer_one(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a stale read that brings back an old configuration."""
    dispatcher.apply(ConfigurationChanged(configuration(9)))
    dispatcher.apply(ConfigurationChanged(configuration(4)))
    assert dispatcher.state.configuration is not None
    assert dispatcher.state.configuration.version == 9


def test_unready_vm_refuses_with_not_run() -> None:
    """Guards against 404 from a VM that has not read the configuration."""
    dispatcher = Dispatcher()
    dispatcher.request()
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.reason is Reason.NO_CONFIGURATION
    assert refusal.verdict is Verdict.NOT_RUN


def test_unknown_route_is_refused_as_such(dispatcher: Dispatcher) -> None:
    """Guards against callers that repeat what no route allows."""
    dispatcher.request('/other/')
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.reason is Reason.UNKNOWN_ROUTE


def test_connections_of_an_old_incarnation_are_dropped(
    dispatcher: Dispatcher,
) -> None:
    """Guards against requests on connections of a process that is gone."""
    record = records()['orders-north']
    dispatcher.apply(TargetAnnounced(record))
    assert not dispatcher.effects_of(DropTarget)
    dispatcher.apply(TargetAnnounced(replace(record, started_ms=2)))
    assert dispatcher.effects_of(DropTarget) == [DropTarget('orders-north')]


def test_targets_survive_the_return_of_the_store(
    dispatcher: Dispatcher,
) -> None:
    """Guards against refusals while lapsed entries come back."""
    dispatcher.apply(StoreRecovered())
    dispatcher.apply(TargetsListed({}))
    dispatcher.apply(TargetRemoved('orders-north'))
    dispatcher.request()
    assert not dispatcher.effects_of(DeliverRefusal)


def test_vms_that_change_domain_are_counted(dispatcher: Dispatcher) -> None:
    """Guards against shares of an old number of VMs in the own domain."""
    state = dispatcher.state
    dispatcher.apply(VmsCounted(state.vm_count, 5))
    assert state.vms_in_domain == 5


def test_reload_changes_budgets_in_use(dispatcher: Dispatcher) -> None:
    """Guards against an old bound on repeats until the process restarts."""
    state = dispatcher.state
    budget = state.budget_of('orders')
    for _ in range(100):
        budget.spend(dispatcher.now, 1)
    limits = BudgetLimits(0.2, 0, timedelta(seconds=10))
    state.replace_limits(replace(state.limits, budget=limits))
    dispatcher.now += 60
    assert not budget.spend(dispatcher.now, 1)
