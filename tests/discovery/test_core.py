"""Targets that leave, lapse, return and start again."""

from dataclasses import replace

from nutmegstep.discovery import Roster, TargetRecord

_RECORD = TargetRecord(
    't1',
    'shard',
    '10.0.0.1',
    80,
    'north',
    3,
    is_draining=False,
    cold_until=0,
    born=1,
)


def _roster() -> Roster:
    roster = Roster()
    roster.update(_RECORD)
    return roster


def test_removed_target_is_dropped_at_once() -> None:
    """Guards against work for a target that has left."""
    roster = _roster()
    assert roster.remove('t1', 100)
    assert not roster.of_service('shard')


def test_entry_that_lapsed_during_an_outage_is_kept_for_a_moment() -> None:
    """Guards against shards that vanish when the store returns."""
    roster = _roster()
    roster.regain_contact(100)
    assert not roster.remove('t1', 100.5)
    assert roster.of_service('shard') == (_RECORD,)
    assert not roster.expire(101.9)


def test_entry_that_does_not_reappear_is_gone() -> None:
    """Guards against lost targets that are used for ever."""
    roster = _roster()
    roster.regain_contact(100)
    roster.remove('t1', 100.5)
    assert roster.next_expiry() == 102
    assert roster.expire(102) == ('t1',)
    assert not roster.of_service('shard')


def test_entry_that_reappears_stays() -> None:
    """Guards against a target that expires although it is back."""
    roster = _roster()
    roster.regain_contact(100)
    roster.replace_all({}, 100.1)
    roster.update(_RECORD)
    assert not roster.expire(200)
    assert roster.of_service('shard') == (_RECORD,)


def test_listing_replaces_what_is_missing() -> None:
    """Guards against targets that disappeared in lost history."""
    roster = _roster()
    other = replace(_RECORD, target_id='t2')
    assert roster.replace_all({'t2': other}, 100) == ('t1',)
    assert roster.of_service('shard') == (other,)


def test_restart_under_the_same_identifier_is_seen() -> None:
    """Guards against a new incarnation that inherits what was learned."""
    roster = _roster()
    assert not roster.update(replace(_RECORD, is_draining=True))
    assert roster.update(replace(_RECORD, born=2))


def test_reused_address_is_another_process() -> None:
    """Guards against connections that lead to another service's server."""
    assert not _RECORD.is_same_process(replace(_RECORD, service='other'))
    assert not _RECORD.is_same_process(replace(_RECORD, port=81))
