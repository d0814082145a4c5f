"""Targets that leave, lapse, return and start again."""

from dataclasses import replace

from nutmegstep.discovery import TargetRecord, TargetRegistry

_RECORD = TargetRecord(
    't1',
    'shard',
    '10.0.0.1',
    80,
    'north',
    3,
    is_draining=False,
    cold_until=0,
    started_ms=1,
)


def _registry() -> TargetRegistry:
    registry = TargetRegistry()
    registry.update(_RECORD)
    return registry


def test_removed_target_is_dropped_at_once() -> None:
    """Guards against work for a target that has left."""
    registry = _registry()
    assert registry.remove('t1', 100)
    assert not registry.of_service('shard')


def test_entry_that_lapsed_during_an_outage_is_kept_for_a_moment() -> None:
    """Guards against shards that vanish when the store returns."""
    registry = _registry()
    registry.start_return_grace(100)
    assert not registry.remove('t1', 100.5)
    assert registry.of_service('shard') == (_RECORD,)
    assert not registry.expire(101.9)


def test_entry_that_does_not_reappear_is_gone() -> None:
    """Guards against lost targets that are used for ever."""
    registry = _registry()
    registry.start_return_grace(100)
    registry.remove('t1', 100.5)
    assert registry.next_expiry() == 102
    assert registry.expire(102) == ('t1',)
    assert not registry.of_service('shard')


def test_entry_that_reappears_stays() -> None:
    """Guards against a target that expires although it is back."""
    registry = _registry()
    registry.start_return_grace(100)
    registry.replace_all({}, 100.1)
    registry.update(_RECORD)
    assert not registry.expire(200)
    assert registry.of_service('shard') == (_RECORD,)


def test_listing_replaces_what_is_missing() -> None:
    """Guards against targets that disappeared in lost history."""
    registry = _registry()
    other = replace(_RECORD, target_id='t2')
    assert registry.replace_all({'t2': other}, 100) == ('t1',)
    assert registry.of_service('shard') == (other,)


def test_restart_under_the_same_identifier_is_seen() -> None:
    """Guards against a new incarnation that inherits what was learned."""
    registry = _registry()
    assert not registry.update(replace(_RECORD, is_draining=True))
    assert registry.update(replace(_RECORD, started_ms=2))


def test_reused_address_is_another_process() -> None:
    """Guards against connections that lead to another service's server."""
    assert not _RECORD.is_same_process(replace(_RECORD, service='other'))
    assert not _RECORD.is_same_process(replace(_RECORD, port=81))
