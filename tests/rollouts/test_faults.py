"""Roll-outs beside failures of VMs, links and the store."""

from dataclasses import replace

from nutmegstep.dispatch.control_events import ProcessResumed, StoreRefreshed
from nutmegstep.dispatch.rollout_events import (
    RolloutDirected,
    RolloutRemoved,
    RolloutReported,
    RolloutsListed,
)
from nutmegstep.rollouts import Outcome, Phase
from nutmegstep.rollouts.candidates import choose_candidates
from tests.rollouts.fleet import SERVICE, START, Behaviour, Fleet


def _fleet(behaviour: Behaviour | None = None) -> tuple[Fleet, tuple[str, ...]]:
    fleet = Fleet(70, 50, behaviour or Behaviour(), seed=3)
    domains = fleet.states['vm-000'].domain_by_vm
    return fleet, choose_candidates(SERVICE, 'v2', domains)


def test_decider_is_killed_after_the_move() -> None:
    """Guards against a roll-out that ends with the VM that decided about it."""
    fleet, candidates = _fleet()
    fleet.time.later(8.6, lambda: fleet.frozen.add(candidates[0]))
    fleet.run()
    assert fleet.order.outcome is Outcome.COMPLETED
    assert not fleet.old_sends_after_end


def test_two_deciders_are_killed() -> None:
    """Guards against a roll-out of a bad version that nobody takes back."""
    fleet, candidates = _fleet(Behaviour(0.5))
    fleet.frozen.update(candidates[:2])
    fleet.run()
    assert fleet.order.outcome is Outcome.REVERTED


def test_answers_of_writes_are_lost() -> None:
    """Guards against a state that is taken for unwritten, and another after it."""
    fleet, _ = _fleet()
    fleet.lost_answers = 5
    fleet.run()
    written = [outcome for _, outcome, is_written in fleet.writes if is_written]
    assert written == [Outcome.ACTIVE, Outcome.COMPLETED]


def test_frozen_writer_wakes_with_an_old_revision() -> None:
    """Guards against a frozen VM that completes what others have taken back."""
    fleet, candidates = _fleet(Behaviour(0.5))
    first = candidates[0]
    fleet.time.later(1, lambda: fleet.frozen.add(first))
    fleet.run(10)
    assert fleet.order.outcome is Outcome.REVERTED
    fleet.frozen.clear()
    fleet.rollout_of(first).phase = Phase.MOVED
    for event in (ProcessResumed(), StoreRefreshed()):
        fleet.apply(first, event)
    fleet.time.run_until(fleet.time.now + 5)
    assert fleet.order.outcome is Outcome.REVERTED


def test_two_deciders_in_a_partition() -> None:
    """Guards against opposite states of two VMs that do not hear each other."""
    fleet, candidates = _fleet()
    fleet.is_lost = lambda sender, receiver: candidates[0] in {sender, receiver}
    fleet.run(20)
    finals = [
        outcome
        for _, outcome, is_written in fleet.writes
        if is_written and outcome is not Outcome.ACTIVE
    ]
    assert finals == [Outcome.COMPLETED]


def test_vm_that_hears_nothing_uses_the_old_version() -> None:
    """Guards against a VM that goes forward by itself, or stays there."""
    fleet, _ = _fleet()
    lonely = fleet.senders[0]
    fleet.is_lost = lambda sender, receiver: (
        receiver == lonely and fleet.time.now > START + 5
    )
    fleet.run(7.5)
    rollout = fleet.rollout_of(lonely)
    assert rollout.phase_in_force(fleet.time.now) is None


def test_lost_messages_delay_no_roll_out() -> None:
    """Guards against a decision that needs each single message."""
    fleet, _ = _fleet()
    fleet.is_lost = lambda sender, receiver: fleet.random.random() < 0.3
    fleet.run()
    assert fleet.order.outcome is Outcome.COMPLETED


def test_store_that_is_away_gets_the_state_when_it_returns() -> None:
    """Guards against a state that is not written after an outage."""
    fleet, _ = _fleet(Behaviour(0.5))
    fleet.is_store_away = True
    fleet.run(10)
    fleet.is_store_away = False
    fleet.time.run_until(fleet.time.now + 2)
    assert fleet.order.outcome is Outcome.REVERTED


def test_copy_of_the_store_lacks_the_end() -> None:
    """Guards against old targets that get requests again after a restoration."""
    fleet, _ = _fleet()
    fleet.run()
    assert fleet.order.outcome is Outcome.COMPLETED
    fleet.order = replace(fleet.order, outcome=None, revision=1)
    for name in fleet.states:
        fleet.apply(name, RolloutsListed((fleet.order,)))
    fleet.time.run_until(fleet.time.now + 3)
    assert fleet.order.outcome is Outcome.COMPLETED


def test_operator_takes_a_version_back_by_hand() -> None:
    """Guards against a decider that overrules the operators."""
    fleet, _ = _fleet()
    fleet.time.later(9, fleet.publish)
    fleet.run(8.6)
    fleet.order = replace(
        fleet.order,
        outcome=Outcome.REVERTED,
        revision=fleet.order.revision + 1,
    )
    fleet.time.run_until(START + 9.3)
    sent = fleet.sent_by_version['v2']
    fleet.time.run_until(START + 15)
    assert fleet.order.outcome is Outcome.REVERTED
    assert fleet.sent_by_version['v2'] == sent


def test_deleted_order_ends_a_roll_out() -> None:
    """Guards against requests to a version that is no longer ordered."""
    fleet, _ = _fleet()
    fleet.run(8.8)
    for name in fleet.states:
        fleet.apply(name, RolloutRemoved(SERVICE))
    sent = fleet.sent_by_version['v2']
    fleet.time.run_until(START + 11)
    assert fleet.sent_by_version['v2'] == sent


def test_new_target_that_crashes_is_not_blamed_on_the_version() -> None:
    """Guards against a crash, or a target in the dark, that takes a good version
    back.
    """
    fleet, _ = _fleet()
    fleet.dark_target = f'{SERVICE}-south-v2'
    fleet.run()
    assert fleet.order.outcome is Outcome.COMPLETED


def test_failure_domain_in_the_dark_is_not_blamed_on_the_version() -> None:
    """Guards against a cut that takes a good version back."""
    fleet, _ = _fleet()
    fleet.dark_domain = 'west'
    fleet.run()
    assert fleet.order.outcome is Outcome.COMPLETED


def test_killed_vms_delay_no_roll_out_beyond_its_deadline() -> None:
    """Guards against a roll-out that waits for VMs that have gone."""
    fleet, candidates = _fleet()
    others = [name for name in fleet.states if name not in candidates]
    fleet.time.later(5, lambda: fleet.frozen.update(others[-20:]))
    fleet.run()
    assert fleet.order.outcome is Outcome.COMPLETED


def test_words_that_waited_during_a_pause_lead_nowhere_but_back() -> None:
    """Guards against a VM that wakes and goes forward on old messages."""
    fleet, candidates = _fleet()
    fleet.run(5)
    lonely = fleet.senders[0]
    fleet.frozen.update(set(fleet.states) - {lonely})
    fleet.time.run_until(START + 8)
    fleet.apply(lonely, ProcessResumed())
    for phase in (Phase.MOVED, Phase.REVERTED):
        word = RolloutDirected(candidates[0], SERVICE, 'v2', phase, 8)
        before = fleet.rollout_of(lonely).phase_in_force(fleet.time.now)
        assert before is None
        fleet.apply(lonely, word)
    after = fleet.rollout_of(lonely).phase_in_force(fleet.time.now)
    assert after is Phase.REVERTED


def test_reports_that_waited_during_a_pause_do_not_count() -> None:
    """Guards against a decider that wakes and completes on old reports."""
    fleet, candidates = _fleet()
    fleet.run(5)
    first = candidates[0]
    report, _ = fleet.rollout_of(first).report_by_vm[fleet.senders[0]]
    fleet.apply(first, ProcessResumed())
    later = replace(report, old_good=report.old_good + 100)
    fleet.apply(first, RolloutReported(fleet.senders[0], later))
    known, _ = fleet.rollout_of(first).report_by_vm[fleet.senders[0]]
    assert known == report
