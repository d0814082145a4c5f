"""Tests of leases: grants, expiry and release."""

from nutmegstep.leases import (
    LeaseState,
    grant_targets,
    grant_to_self,
    lease_expiry_by_target,
    rank_by_hash,
    record_grants,
    record_release,
    release_all,
    targets_to_request,
)
from nutmegstep.membership import Identity

_OWN, _PEER = Identity('a', 1), Identity('b', 2)
_ROSTER = frozenset(('a', 'b'))


def _holder() -> LeaseState:
    state = LeaseState(_OWN, started=0)
    grant_to_self(state, ['t'], 1, 10)
    record_grants(state, 'b', ['t'], 10)
    return state


def test_lease_expires_three_seconds_after_the_request() -> None:
    """Guards against a lease that outlasts the grants behind it.

    Measured from the reply instead of the request, it would end too late.
    """
    assert lease_expiry_by_target(_holder(), _ROSTER, 2, 12) == {'t': 13}
    assert lease_expiry_by_target(_holder(), _ROSTER, 2, 13) == {}


def test_lease_needs_the_grant_of_every_vm_on_a_full_roster() -> None:
    """Guards against two VMs that hold the lease of one target.

    A VM on the roster has not granted it, the roster is smaller than the
    declared number of VMs, or this VM is not on it.
    """
    assert lease_expiry_by_target(_holder(), _ROSTER | {'c'}, 2, 11) == {}
    assert lease_expiry_by_target(_holder(), _ROSTER, 3, 11) == {}
    assert lease_expiry_by_target(_holder(), frozenset('b'), 1, 11) == {}


def test_granter_waits_for_the_longest_request() -> None:
    """Guards against a grant while a request of the last holder may run.

    A request sent just before the lease expired may take 2 s.
    """
    state = LeaseState(_OWN, started=0)
    assert grant_targets(state, _PEER, ['t'], 1, 10) == {'t'}
    assert not grant_to_self(state, ['t'], 1, 14.9)
    assert grant_targets(state, Identity('b', 3), ['t'], 1, 14.9) == frozenset()
    assert grant_to_self(state, ['t'], 2, 15) == {'t'}


def test_new_process_grants_nothing() -> None:
    """Guards against a second grant after a restart of the granter.

    The new process does not know what it granted before.
    """
    state = LeaseState(_OWN, started=10)
    assert grant_targets(state, _PEER, ['t'], 1, 14.9) == frozenset()
    assert grant_to_self(state, ['t'], 1, 14.9) == frozenset()
    assert grant_targets(state, _PEER, ['t'], 2, 15) == {'t'}


def test_release_is_final() -> None:
    """Guards against messages that arrive late.

    A grant for a request sent before the release must not give the lease
    back, and an old release must not end a newer grant.
    """
    state = _holder()
    assert release_all(state, 11) == {'t'}
    grant_to_self(state, ['t'], 2, 11.5)
    record_grants(state, 'b', ['t'], 10.5)
    assert lease_expiry_by_target(state, _ROSTER, 2, 11.5) == {}
    granter = LeaseState(_PEER, started=0)
    grant_targets(granter, _OWN, ['t'], 5, 10)
    record_release(granter, _OWN, ['t'], 4)
    assert 't' in granter.grants_by_target
    record_release(granter, _OWN, ['t'], 6)
    assert 't' not in granter.grants_by_target


def test_one_vm_requests_each_lease() -> None:
    """Guards against VMs that request one lease and block each other."""
    requested = [targets_to_request(name, ['t', 'u'], 'abc') for name in 'abc']
    assert sum(len(targets) for targets in requested) == 2
    assert rank_by_hash('t', 'abc') == rank_by_hash('t', 'cba')
