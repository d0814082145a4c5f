"""Tests of warm reports after the connections to a target were lost (G3)."""

from nutmegstep.engine.events import Event, TargetReportedWarm
from nutmegstep.leases import LeaseState
from nutmegstep.membership import Identity, ListedVm, MembershipState
from nutmegstep.node.state import NodeState
from nutmegstep.node.warm_reports import (
    forget_warm,
    record_warm,
    record_warm_reports,
)
from nutmegstep.peers import Process, WarmReport

REPORT = WarmReport('t', 'boot-1')


def make_state(events: list[Event]) -> NodeState:
    """Return the state of a VM that appends its events to a list."""
    identity = Identity('vm', 1)
    return NodeState(
        Process(ListedVm('vm', 'd', 'a'), 1),
        MembershipState(identity, 'd', 0),
        LeaseState(identity, 0),
        events.append,
    )


def test_report_after_connection_loss_is_new() -> None:
    """Guards against a target that stays cold because its report seems known.

    The engine ignores reports in the first second after a loss. If such a
    report were recorded, its repeats would not be emitted again.
    """
    events: list[Event] = []
    state = make_state(events)
    for now in (0, 1):
        record_warm_reports(state, (REPORT,), now)
    assert events == [TargetReportedWarm('t', 'boot-1')]
    forget_warm(state, 't', 2)
    record_warm_reports(state, (REPORT,), 2.9)
    assert not state.warm_boot_id_by_target
    record_warm_reports(state, (REPORT,), 3)
    assert len(events) == 2
    forget_warm(state, 't', 4)
    record_warm(state, REPORT, 4.1)
    assert len(events) == 3


def test_report_from_before_the_loss_is_ignored() -> None:
    """Guards against a restarted target that counts as warm.

    A peer that has no connection to the target does not notice the restart and
    repeats its earlier report.
    """
    events: list[Event] = []
    state = make_state(events)
    record_warm(state, WarmReport('t', 'boot-1'), 0)
    forget_warm(state, 't', 10)
    events.clear()
    record_warm_reports(state, (WarmReport('t', 'boot-1', age_ms=4000),), 12)
    assert not events
    record_warm_reports(state, (WarmReport('t', 'boot-1', age_ms=1000),), 12)
    assert events == [TargetReportedWarm('t', 'boot-1')]
