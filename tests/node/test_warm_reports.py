"""Tests of warm reports after a loss of connections (G3)."""

from nutmegstep.engine.events import Event, TargetReportedWarm
from nutmegstep.leases import LeaseState
from nutmegstep.membership import Identity, ListedVm, MembershipState
from nutmegstep.node.state import NodeState
from nutmegstep.node.warm_reports import forget_warm, learn_warm, record_warm
from nutmegstep.peers import Process, WarmReport

REPORT = WarmReport('t', 'boot-1')


def make_state(events: list[Event]) -> NodeState:
    """Return the state of a node that appends its events to a list."""
    identity = Identity('vm', 1)
    return NodeState(
        Process(ListedVm('vm', 'd', 'a'), 1),
        MembershipState(identity, 'd', 0),
        LeaseState(identity, 0),
        events.append,
    )


def test_forgotten_report_is_new_again() -> None:
    """Guards against an early repeat that hides the confirmation."""
    events: list[Event] = []
    state = make_state(events)
    for now in (0, 1):
        learn_warm(state, (REPORT,), now)
    assert events == [TargetReportedWarm('t', 'boot-1')]
    forget_warm(state, 't', 2)
    learn_warm(state, (REPORT,), 2.9)
    assert not state.boot_by_target
    learn_warm(state, (REPORT,), 3)
    assert len(events) == 2
    forget_warm(state, 't', 4)
    record_warm(state, REPORT, 4.1)
    assert len(events) == 3


def test_report_from_before_the_loss_does_not_count() -> None:
    """Guards against a peer that repeats what it learned before a restart."""
    events: list[Event] = []
    state = make_state(events)
    record_warm(state, WarmReport('t', 'boot-1'), 0)
    forget_warm(state, 't', 10)
    events.clear()
    learn_warm(state, (WarmReport('t', 'boot-1', age_ms=4000),), 12)
    assert not events
    learn_warm(state, (WarmReport('t', 'boot-1', age_ms=1000),), 12)
    assert events == [TargetReportedWarm('t', 'boot-1')]
