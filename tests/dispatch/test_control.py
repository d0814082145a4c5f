"""Tests of changes of the configuration, the targets and the number of VMs."""

from dataclasses import replace
from datetime import timedelta

from nutmegstep.dispatch.budget import BudgetLimits
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    DomainsWithdrawn,
    HousekeepingDue,
    StoreRecovered,
    StoreRestored,
    TargetAnnounced,
    TargetRemoved,
    TargetsListed,
    VmsCounted,
)
from nutmegstep.dispatch.effects import (
    CancelSend,
    DeliverRefusal,
    DeliverReply,
    DropTarget,
    SendRequest,
)
from nutmegstep.verdict import Reason, Verdict
from tests.dispatch.conftest import Dispatcher, configuration, records


def test_older_version_never_replaces_a_newer_one(
    dispatcher: Dispatcher,
) -> None:
    """Guards against returning to an old configuration after a stale read."""
    dispatcher.apply(ConfigurationChanged(configuration(9)))
    dispatcher.apply(ConfigurationChanged(configuration(4)))
    assert dispatcher.state.configuration is not None
    assert dispatcher.state.configuration.version == 9


def test_unready_vm_refuses_with_not_run() -> None:
    """Guards against refusing valid requests as unknown while a VM starts.

    Without a configuration no route matches, which would read as a 404.
    """
    dispatcher = Dispatcher()
    dispatcher.request()
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.reason is Reason.NO_CONFIGURATION
    assert refusal.verdict is Verdict.NOT_RUN


def test_unknown_route_is_refused_as_such(dispatcher: Dispatcher) -> None:
    """Guards against callers that retry a request without a route.

    A refusal for any other reason would suggest that a retry may succeed.
    """
    dispatcher.request('/other/')
    refusal = dispatcher.effects_of(DeliverRefusal)[0].refusal
    assert refusal.reason is Reason.UNKNOWN_ROUTE


def test_connections_of_an_old_incarnation_are_dropped(
    dispatcher: Dispatcher,
) -> None:
    """Guards against requests on idle connections to a process that has ended.

    A target that restarts announces itself under the same identifier.
    """
    record = records()['orders-north']
    dispatcher.apply(TargetAnnounced(record))
    assert not dispatcher.effects_of(DropTarget)
    dispatcher.apply(TargetAnnounced(replace(record, started_ms=2)))
    assert dispatcher.effects_of(DropTarget) == [DropTarget('orders-north')]


def test_targets_survive_the_return_of_the_store(
    dispatcher: Dispatcher,
) -> None:
    """Guards against refusals just after an outage of the store.

    The announcements of live targets expire during the outage, and the first
    list that is read afterwards lacks them.
    """
    dispatcher.apply(StoreRecovered())
    dispatcher.apply(TargetsListed({}))
    dispatcher.apply(TargetRemoved('orders-north'))
    dispatcher.request()
    assert not dispatcher.effects_of(DeliverRefusal)


def test_vms_that_change_domain_are_counted(dispatcher: Dispatcher) -> None:
    """Guards against connection limits for an outdated number of VMs.

    The number in this failure domain can change while the total stays.
    """
    state = dispatcher.state
    dispatcher.apply(VmsCounted(state.vm_count, 5))
    assert state.vms_in_domain == 5


def test_reload_changes_budgets_in_use(dispatcher: Dispatcher) -> None:
    """Guards against reloaded settings that have no effect until a restart.

    Budgets that exist already would keep the bound they were created with.
    """
    state = dispatcher.state
    budget = state.budget_of('orders')
    for _ in range(100):
        budget.spend(dispatcher.now, 1)
    limits = BudgetLimits(0.2, 0, timedelta(seconds=10))
    state.replace_limits(replace(state.limits, budget=limits))
    dispatcher.now += 60
    assert not budget.spend(dispatcher.now, 1)


def test_send_in_flight_survives_the_loss_of_its_announcement(
    dispatcher: Dispatcher,
) -> None:
    """Guards against work that is given up or started again elsewhere because
    its target was late to renew its announcement.
    """
    dispatcher.request('/fetch/x')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.apply(TargetRemoved(send.target.target_id))
    dispatcher.apply(StoreRecovered())
    assert dispatcher.effects_of(SendRequest) == [send]
    assert not dispatcher.effects_of(CancelSend)
    dispatcher.answer([send])
    assert dispatcher.effects_of(DeliverReply)


def test_copy_of_the_store_does_not_undo_departures(
    dispatcher: Dispatcher,
) -> None:
    """Guards against requests to targets that have left or drain, and against
    the loss of new targets, when the store is restored from an older copy.
    """
    known = records()
    new = replace(known['orders-north'], target_id='new', started_ms=2)
    dispatcher.apply(TargetRemoved('orders-south'))
    draining = replace(known['orders-west'], is_draining=True)
    dispatcher.apply(TargetAnnounced(draining))
    dispatcher.apply(TargetRemoved('orders-north'))
    dispatcher.apply(TargetAnnounced(new))
    dispatcher.now += 1
    dispatcher.apply(StoreRestored())
    dispatcher.apply(TargetsListed(known))
    for _ in range(20):
        dispatcher.request('/fetch/x')
    sends = dispatcher.effects_of(SendRequest)
    assert {send.target.target_id for send in sends} == {'new'}


def test_copy_of_the_store_does_not_undo_a_withdrawal(
    dispatcher: Dispatcher,
) -> None:
    """Guards against requests to a withdrawn failure domain while the operators
    write the withdrawal again that the restored store has lost.
    """
    dispatcher.apply(DomainsWithdrawn(frozenset(('north',))))
    dispatcher.apply(StoreRestored())
    dispatcher.apply(DomainsWithdrawn(frozenset(('west',))))
    dispatcher.now += 4
    dispatcher.apply(HousekeepingDue())
    assert dispatcher.state.withdrawn_domains == {'north', 'west'}
    dispatcher.apply(DomainsWithdrawn(frozenset(('north', 'west'))))
    dispatcher.now += 60
    dispatcher.apply(HousekeepingDue())
    assert dispatcher.state.withdrawn_domains == {'north', 'west'}


def test_withdrawal_that_ended_stays_ended_after_a_restoration(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a failure domain that stays without requests, because its
    withdrawal is kept although nobody writes it again.
    """
    dispatcher.apply(DomainsWithdrawn(frozenset(('north',))))
    dispatcher.apply(StoreRestored())
    dispatcher.apply(DomainsWithdrawn(frozenset()))
    dispatcher.now += 5
    dispatcher.apply(HousekeepingDue())
    assert not dispatcher.state.withdrawn_domains
