"""Roll-outs over whole fleets: verdicts, exposure and their end in time."""

import pytest

from nutmegstep.dispatch.control_events import TargetsListed
from nutmegstep.rollouts import Outcome, Phase
from tests.rollouts.fleet import (
    DURATION,
    SERVICE,
    START,
    Behaviour,
    Fleet,
    targets_of,
)

_SLACK = 50
_SHARE = 0.1


def _exposure_bound(fleet: Fleet) -> float:
    return sum(fleet.sent_by_version.values()) * _SHARE + _SLACK


@pytest.mark.parametrize('vms', [7, 70, 300])
def test_good_version_is_complete_in_time(vms: int) -> None:
    """Guards against a good version that is taken back or comes late, and against
    requests to old targets when these stop.
    """
    fleet = Fleet(vms, 50, Behaviour(), seed=vms)
    fleet.run()
    assert fleet.order.outcome is Outcome.COMPLETED
    assert not fleet.old_sends_after_end


@pytest.mark.parametrize('vms', [7, 70, 300])
@pytest.mark.parametrize(
    'behaviour',
    [
        Behaviour(0.5),
        Behaviour(0.5, slow=True),
        Behaviour(0.5, since=5),
        Behaviour(1, since=8.5),
    ],
    ids=['fails', 'slow', 'fails-later', 'fails-after-the-move'],
)
def test_bad_version_is_taken_back(vms: int, behaviour: Behaviour) -> None:
    """Guards against a bad version that gets more requests than allowed."""
    fleet = Fleet(vms, 50, behaviour, seed=vms)
    fleet.run()
    assert fleet.order.outcome is Outcome.REVERTED
    assert fleet.sent_by_version['v2'] <= _exposure_bound(fleet)
    assert fleet.bad_answers < 50


def test_one_slow_target_is_not_blamed_on_the_version() -> None:
    """Guards against trouble of one target that takes a good version back."""
    behaviour = Behaviour(0.8, slow=True, only_target=f'{SERVICE}-north-v2')
    fleet = Fleet(70, 50, behaviour, seed=2)
    fleet.run()
    assert fleet.order.outcome is Outcome.COMPLETED


def test_other_version_gets_nothing_without_an_order() -> None:
    """Guards against targets of a version that no order has named."""
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    fleet.publish = lambda: None  # type: ignore[method-assign]
    fleet.run(3)
    assert fleet.sent_by_version['v1'] > 100
    assert not fleet.sent_by_version['v2']


def test_order_costs_nothing_after_its_end() -> None:
    """Guards against messages for ever."""
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    fleet.run(DURATION + 6)
    sent: list[str] = []
    fleet.is_lost = lambda sender, receiver: bool(sent.append(sender))
    fleet.time.run_until(fleet.time.now + 5)
    assert not sent


def test_only_announced_version_is_used_whatever_the_order() -> None:
    """Guards against a VM that starts when the old targets have gone, and refuses
    all requests until the order is complete.
    """
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    for state in fleet.states.values():
        rollouts = state.rollouts
        rollouts.put(fleet.order, START, 1)
        targets = tuple(targets_of('v2').values())
        assert all(rollouts.is_open(one, targets, START) for one in targets)


def test_third_version_gets_nothing() -> None:
    """Guards against targets of a version that no order has named, beside one."""
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    rollouts = fleet.states['vm-000'].rollouts
    rollouts.put(fleet.order, START, 1)
    targets = tuple({**targets_of('v1'), **targets_of('v3')}.values())
    allowed = {
        one.version for one in targets if rollouts.is_open(one, targets, START)
    }
    assert allowed == {'v1'}


def test_old_targets_do_when_all_new_ones_have_gone() -> None:
    """Guards against an outage after the move, when the new targets crash."""
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    fleet.run(9)
    old = targets_of('v1')
    for name in fleet.states:
        assert fleet.rollout_of(name).phase is Phase.MOVED
        fleet.apply(name, TargetsListed(old))
    sent = fleet.sent_by_version['v1']
    fleet.time.run_until(fleet.time.now + 1)
    assert fleet.sent_by_version['v1'] > sent + 20


def test_new_targets_that_never_start_get_no_traffic() -> None:
    """Guards against a move to a version without targets."""
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    for name in fleet.states:
        fleet.apply(name, TargetsListed(targets_of('v1')))
    fleet.run()
    assert fleet.order.outcome is Outcome.ACTIVE
    assert fleet.sent_by_version['v1'] > 500


@pytest.mark.parametrize(
    ('behaviour', 'outcome'),
    [
        (Behaviour(), Outcome.COMPLETED),
        (Behaviour(0.5), Outcome.REVERTED),
        (Behaviour(0.5, slow=True), Outcome.REVERTED),
        (Behaviour(0.5, slow=True, since=5), Outcome.REVERTED),
    ],
    ids=['good', 'fails', 'slow', 'slow-later'],
)
def test_one_shard_of_a_query_is_rolled_out(
    behaviour: Behaviour, outcome: Outcome
) -> None:
    """Guards against hedges and partial answers that hide a bad version."""
    fleet = Fleet(70, 50, behaviour, 5, service='shard-0')
    fleet.path = '/sweep/x'
    fleet.run()
    assert fleet.order.outcome is outcome
    if outcome is Outcome.REVERTED:
        of_shard = fleet.sent_by_version['v1'] + fleet.sent_by_version['v2']
        bound = of_shard * _SHARE + _SLACK
        assert fleet.sent_by_version['v2'] <= bound


def test_version_of_an_order_does_not_take_over_as_the_old_targets_crash() -> (
    None
):
    """Guards against a version under trial that gets all traffic, also for good,
    because the old targets were gone when the order was first looked at.
    """
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    rollouts = fleet.states['vm-000'].rollouts
    old, new = (tuple(targets_of(one).values()) for one in ('v1', 'v2'))
    assert rollouts.running_version(old, START) == 'v1'
    rollouts.put(fleet.order, START, 1)
    assert not any(rollouts.is_open(one, new, START + 1) for one in new)
    assert all(rollouts.is_open(one, old, START + 2) for one in old)


def test_running_version_outlasts_a_crash_of_its_targets() -> None:
    """Guards against a version that no order names and that takes over while all
    targets of the running one are down for some seconds.
    """
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    rollouts = fleet.states['vm-000'].rollouts
    old, new = (tuple(targets_of(one).values()) for one in ('v1', 'v2'))
    assert rollouts.running_version(old, START) == 'v1'
    assert rollouts.running_version(new, START + 1) == 'v1'
    assert rollouts.running_version(old, START + 5) == 'v1'
    assert rollouts.running_version(new, START + 6) == 'v1'
    assert rollouts.running_version(new, START + 17) == 'v2'


def test_vm_serves_only_once_the_orders_are_read() -> None:
    """Guards against a VM that starts and takes a version for the running one
    before it knows of the order for it.
    """
    fleet = Fleet(7, 50, Behaviour(), seed=1)
    state = fleet.states['vm-000']
    assert state.is_ready
    state.rollouts.is_listed = False
    assert not state.is_ready
