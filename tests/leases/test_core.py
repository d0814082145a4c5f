"""Tests of promises: guard against rights that last too long."""

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


def test_right_ends_three_seconds_after_the_ask() -> None:
    """Guards against a right counted from the reply."""
    assert lease_expiry_by_target(_holder(), _ROSTER, 2, 12) == {'t': 13}
    assert lease_expiry_by_target(_holder(), _ROSTER, 2, 13) == {}


def test_roster_rules() -> None:
    """Guards against a right without the promise of every VM."""
    assert lease_expiry_by_target(_holder(), _ROSTER | {'c'}, 2, 11) == {}
    assert lease_expiry_by_target(_holder(), _ROSTER, 3, 11) == {}
    assert lease_expiry_by_target(_holder(), frozenset('b'), 1, 11) == {}


def test_giver_waits_for_the_margin() -> None:
    """Guards against a grant while a request of 2 s may still run."""
    state = LeaseState(_OWN, started=0)
    assert grant_targets(state, _PEER, ['t'], 1, 10) == {'t'}
    assert not grant_to_self(state, ['t'], 1, 14.9)
    assert grant_targets(state, Identity('b', 3), ['t'], 1, 14.9) == frozenset()
    assert grant_to_self(state, ['t'], 2, 15) == {'t'}


def test_new_process_gives_nothing() -> None:
    """Guards against a restart that forgets an earlier promise."""
    state = LeaseState(_OWN, started=10)
    assert grant_targets(state, _PEER, ['t'], 1, 14.9) == frozenset()
    assert grant_to_self(state, ['t'], 1, 14.9) == frozenset()
    assert grant_targets(state, _PEER, ['t'], 2, 15) == {'t'}


def test_release_is_final() -> None:
    """Guards against late grants and late releases."""
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


def test_one_vm_asks() -> None:
    """Guards against VMs of one roster that block each other."""
    asked = [targets_to_request(name, ['t', 'u'], 'abc') for name in 'abc']
    assert sum(len(targets) for targets in asked) == 2
    assert rank_by_hash('t', 'abc') == rank_by_hash('t', 'cba')
