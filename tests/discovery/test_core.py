"""Tests of targets that are removed, expire, return or restart."""

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
    registry.update(_RECORD, 100)
    return registry


def test_removed_target_is_dropped_at_once() -> None:
    """Guards against sending requests to a target that has exited."""
    registry = _registry()
    assert registry.remove('t1', 100)
    assert not registry.of_service('shard')


def test_target_that_expired_during_an_outage_is_kept_at_first() -> None:
    """Guards against shards without targets just after an outage of the store.

    Announcements of live targets have expired in the meantime.
    """
    registry = _registry()
    registry.start_return_grace(100)
    assert not registry.remove('t1', 100.5)
    assert registry.of_service('shard') == (_RECORD,)
    assert not registry.expire(101.9)


def test_target_that_is_not_announced_again_expires() -> None:
    """Guards against keeping a target for ever that exited during an outage.

    It is kept at first like targets that are still alive.
    """
    registry = _registry()
    registry.start_return_grace(100)
    registry.remove('t1', 100.5)
    assert not registry.expire(101.999)
    assert registry.expire(102) == ('t1',)
    assert not registry.of_service('shard')


def test_target_that_is_announced_again_stays() -> None:
    """Guards against the expiry of a target that was announced again."""
    registry = _registry()
    registry.start_return_grace(100)
    registry.replace_all({}, 100.1)
    registry.update(_RECORD, 100)
    assert not registry.expire(200)
    assert registry.of_service('shard') == (_RECORD,)


def test_list_removes_missing_targets() -> None:
    """Guards against targets whose removal was missed.

    After a gap in the history of changes, only the complete list shows it.
    """
    registry = _registry()
    other = replace(_RECORD, target_id='t2')
    assert registry.replace_all({'t2': other}, 100) == ('t1',)
    assert registry.of_service('shard') == (other,)


def test_restart_under_the_same_identifier_is_recognised() -> None:
    """Guards against a restarted target that keeps the health of the old one.

    It announces itself under the same identifier.
    """
    registry = _registry()
    assert not registry.update(replace(_RECORD, is_draining=True), 100)
    assert registry.update(replace(_RECORD, started_ms=2), 100)


def test_reused_address_is_another_process() -> None:
    """Guards against reusing connections to a process of another service."""
    assert not _RECORD.is_same_process(replace(_RECORD, service='other'))
    assert not _RECORD.is_same_process(replace(_RECORD, port=81))


def test_target_that_left_is_not_used_when_the_store_is_restored() -> None:
    """Guards against requests to a target that has left, when the store comes
    back from a copy in which it is still announced.
    """
    registry = _registry()
    registry.remove('t1', 100)
    registry.start_hold(110)
    registry.replace_all({'t1': _RECORD}, 110)
    assert not registry.of_service('shard')
    registry.remove('t1', 113.6)
    registry.expire(116)
    assert not registry.of_service('shard')


def test_target_that_lives_is_used_after_the_hold() -> None:
    """Guards against a live target that is never used again, because its
    announcement had expired before the store was restored.
    """
    registry = _registry()
    registry.remove('t1', 100)
    registry.start_hold(110)
    registry.replace_all({'t1': _RECORD}, 110)
    registry.expire(112)
    assert not registry.of_service('shard')
    registry.expire(115)
    assert registry.of_service('shard') == (_RECORD,)


def test_restarted_target_is_used_at_once_after_a_restoration() -> None:
    """Guards against a hold that applies to another process under the same
    identifier, or to a target that was away in the restoration only.
    """
    registry = _registry()
    registry.remove('t1', 100)
    registry.start_hold(110)
    restarted = replace(_RECORD, started_ms=2)
    registry.update(restarted, 110)
    registry.remove('t1', 112)
    registry.update(restarted, 113)
    assert registry.of_service('shard') == (restarted,)


def test_draining_target_stays_draining_in_a_restoration() -> None:
    """Guards against new requests to a target that drains, when the store comes
    back from a copy in which it serves.
    """
    registry = _registry()
    registry.update(replace(_RECORD, is_draining=True), 100)
    registry.start_hold(110)
    registry.replace_all({'t1': _RECORD}, 110)
    registry.expire(114)
    assert registry.by_id['t1'].is_draining
    registry.update(replace(_RECORD, is_draining=True), 114)
    registry.expire(116)
    assert registry.by_id['t1'].is_draining
    registry.update(replace(_RECORD, started_ms=2), 117)
    assert not registry.by_id['t1'].is_draining


def test_target_that_serves_again_is_used_after_the_hold() -> None:
    """Guards against a target that is left for ever, as its announcement says
    that it serves once more.
    """
    registry = _registry()
    registry.update(replace(_RECORD, is_draining=True), 100)
    registry.start_hold(110)
    registry.replace_all({'t1': _RECORD}, 110)
    registry.expire(115)
    assert not registry.by_id['t1'].is_draining


def test_target_that_has_said_that_it_leaves_keeps_draining() -> None:
    """Guards against announcements that lag, or lapse and return, and bring a
    target back into use that leaves.
    """
    registry = _registry()
    assert registry.mark_leaving(_RECORD)
    assert not registry.mark_leaving(_RECORD)
    registry.update(_RECORD, 100)
    registry.remove('t1', 101)
    registry.expire(102)
    registry.update(_RECORD, 103)
    assert registry.by_id['t1'].is_draining
    assert registry.of_service('shard')[0].is_draining
    registry.update(replace(_RECORD, started_ms=2), 104)
    assert not registry.by_id['t1'].is_draining


def test_leaving_process_is_forgotten_after_its_departure() -> None:
    """Guards against a memory that grows with each target that has left."""
    registry = _registry()
    registry.mark_leaving(_RECORD)
    registry.remove('t1', 100)
    registry.expire(161)
    registry.update(_RECORD, 162)
    assert not registry.by_id['t1'].is_draining


def test_notice_of_an_earlier_process_is_ignored() -> None:
    """Guards against a late answer that takes a restarted target out of use."""
    registry = _registry()
    registry.update(replace(_RECORD, started_ms=2), 100)
    assert not registry.mark_leaving(_RECORD)
    assert not registry.by_id['t1'].is_draining
