"""Tests of alarms, which tell operators of states that need an action."""

from nutmegstep.control import Configuration, ControlState
from nutmegstep.declarations import encode_fleet
from nutmegstep.leases import LeaseState
from nutmegstep.membership import (
    Identity,
    ListedVm,
    MembershipState,
    record_heartbeat,
    record_list,
)
from nutmegstep.model import Fleet
from nutmegstep.node.alarms import alarms
from nutmegstep.node.reported import PLATFORM_SOURCE, record_configuration
from nutmegstep.node.state import (
    NodeState,
    ReportedConfiguration,
    merge_control_state,
)
from nutmegstep.peers import Process

_OTHER = ListedVm('vm-2', 'd1', '127.0.0.1:2')
_FLEET = Fleet(4, {}, {}, 2, {'d1': 2})


def _state() -> NodeState:
    identity = Identity('vm-1', 7)
    state = NodeState(
        Process(ListedVm('vm-1', 'd1', '127.0.0.1:1'), 7),
        MembershipState(identity, 'd1', 0),
        LeaseState(identity, 0),
        lambda event: None,
    )
    stored = Configuration(4, 'x', encode_fleet(_FLEET))
    merge_control_state(state, ControlState(stored))
    return state


def _only_alarm(state: NodeState, now: float) -> str:
    found = alarms(state, now)
    assert len(found) == 1
    return found[0]


def test_platform_alarm_after_missed_reads() -> None:
    """Guards against a hidden outage of the platform, and a false alarm.

    The time without a VM list must raise the alarm although heartbeats still
    arrive, but a single slow read of the list must not.
    """
    state = _state()
    record_heartbeat(state.membership, _OTHER, 8, 10)
    record_list(state.membership, [state.own.vm, _OTHER], 0.5)
    record_heartbeat(state.membership, _OTHER, 8, 15)
    assert alarms(state, 15.4) == ()
    record_heartbeat(state.membership, _OTHER, 8, 20)
    alarm = _only_alarm(state, 20.5)
    assert alarm.startswith('the platform is away since 20 s')


def test_roster_alarms() -> None:
    """Guards against blocked cold targets that no alarm explains.

    No leases are granted while the roster has too few VMs or a VM on it is
    silent, for example after it was stopped without notice.
    """
    state = _state()
    record_list(state.membership, [state.own.vm], 1)
    alarm = _only_alarm(state, 2)
    assert alarm.startswith('the roster of d1 has 1 of 2 declared entry VMs')
    record_heartbeat(state.membership, _OTHER, 8, 2)
    assert alarms(state, 4.9) == ()
    alarm = _only_alarm(state, 5)
    assert alarm.startswith('vm-2 is on the roster of d1 and silent for 3 s')


def test_configuration_conflicts(caplog) -> None:
    """Guards against conflicts that are not logged, or logged repeatedly.

    Each heartbeat of a VM reports its configuration again, but a conflict must
    be logged only once. A higher generation is no conflict.
    """
    state = _state()
    record_heartbeat(state.membership, _OTHER, 8, 1)
    record_configuration(state, PLATFORM_SOURCE, ReportedConfiguration(3, 'w'))
    record_configuration(state, 'vm-2', ReportedConfiguration(4, 'y'))
    record_configuration(state, 'vm-2', ReportedConfiguration(4, 'y'))
    assert len(caplog.records) == 1
    conflict, older = alarms(state, 1)
    assert conflict.startswith('configuration conflict: vm-2 has generation 4')
    assert older.startswith('the platform has generation 3, older than 4')
    record_configuration(state, 'vm-2', ReportedConfiguration(6, 'z'))
    assert state.highest_generation == 6
    assert len(alarms(state, 1)) == 1
