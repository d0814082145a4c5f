"""Tests of the membership state and of the roster."""

from nutmegstep.membership import (
    Identity,
    ListedVm,
    MembershipState,
    forget,
    prune,
    record_heartbeat,
    record_list,
    record_tick,
    roster,
    suspected_names,
    view,
)

_OWN = ListedVm('vm-1', 'd1', '127.0.0.1:1')
_PEER = ListedVm('vm-2', 'd1', '127.0.0.1:2')


def _state() -> MembershipState:
    state = MembershipState(Identity('vm-1', 1), 'd1', started=0)
    record_list(state, [_OWN, _PEER], 0)
    record_heartbeat(state, _PEER, 5, 0)
    return state


def test_silent_vm_is_suspect_then_down() -> None:
    """Guards against VMs that stay in the view after they have died."""
    state = _state()
    assert suspected_names(state, 1) == {'vm-2'}
    assert view(state, 2.9) == {'vm-1', 'vm-2'}
    assert view(state, 3) == {'vm-1'}


def test_roster_is_kept_during_an_outage() -> None:
    """Guards against leases without the grant of a VM that still runs.

    During an outage of the platform there are no new lists that show it.
    """
    state = _state()
    record_list(state, [_OWN], 1)
    assert roster(state, 'd1', 60) == {'vm-1', 'vm-2'}


def test_roster_drops_vm_after_absence_and_silence() -> None:
    """Guards against a dead VM that blocks all leases for ever.

    A VM that has died can no longer grant the leases that need its grant.
    """
    state = _state()
    for listed_at in (1, 6, 11):
        assert roster(state, 'd1', listed_at) == {'vm-1', 'vm-2'}
        record_list(state, [_OWN], listed_at)
    assert roster(state, 'd1', 11) == {'vm-1'}


def test_unlisted_vm_that_is_heard_stays() -> None:
    """Guards against dropping a VM that still runs from the roster.

    The platform does not list the VM, but its heartbeats arrive.
    """
    state = _state()
    for listed_at in (1, 6, 11):
        record_list(state, [_OWN], listed_at)
    record_heartbeat(state, _PEER, 5, 10)
    assert roster(state, 'd1', 15) == {'vm-1', 'vm-2'}


def test_silence_is_measured_anew_after_a_pause() -> None:
    """Guards against a process that drops all VMs after its own pause.

    It has handled no heartbeats while it was paused.
    """
    state = _state()
    record_list(state, [_OWN], 1)
    assert record_tick(state, 100)
    record_list(state, [_OWN], 100)
    assert roster(state, 'd1', 101) == {'vm-1', 'vm-2'}
    assert roster(state, 'd1', 110) == {'vm-1'}


def test_earlier_incarnation_is_refused() -> None:
    """Guards against a late heartbeat that brings back a replaced process."""
    state = _state()
    assert record_heartbeat(state, _PEER, 6, 1)
    assert not record_heartbeat(state, _PEER, 5, 2)
    assert state.members_by_name['vm-2'].incarnation == 6


def test_older_list_is_ignored() -> None:
    """Guards against an old list from a slow relay that undoes a newer one."""
    state = _state()
    record_list(state, [_OWN], 5)
    assert not record_list(state, [_OWN, _PEER], 4)
    assert state.members_by_name['vm-2'].absent_since == 5


def test_forgotten_vm_returns_with_a_heartbeat() -> None:
    """Guards against a VM that runs but stays removed from the roster.

    An operator has removed it by mistake.
    """
    state = _state()
    assert forget(state, 'vm-2')
    assert roster(state, 'd1', 1) == {'vm-1'}
    record_heartbeat(state, _PEER, 5, 2)
    assert roster(state, 'd1', 2) == {'vm-1', 'vm-2'}


def test_prune_keeps_silent_vms_that_are_listed() -> None:
    """Guards against the removal of VMs that may still send to targets."""
    state = _state()
    prune(state, 60)
    assert 'vm-2' in state.members_by_name
    record_list(state, [_OWN], 61)
    record_list(state, [_OWN], 71)
    prune(state, 72)
    assert 'vm-2' not in state.members_by_name
