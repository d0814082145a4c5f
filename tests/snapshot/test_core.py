"""Tests of the choice of the index version for a query."""

from datetime import timedelta

import pytest

from nutmegstep.model import (
    CoverageRule,
    IndexVersion,
    Service,
    Shard,
    WorkClass,
)
from nutmegstep.snapshot import ShardMapCache, VersionHolders, choose_version

SERVICE = Service(
    'stock',
    'records',
    ('group',),
    WorkClass.BATCH,
    CoverageRule.WHOLE,
    timedelta(seconds=1),
)
SHARD = Shard('a', 'group', ('t1', 't2'))
VERSIONS = tuple(IndexVersion(number, {'a': SHARD}) for number in (1, 2, 3))


@pytest.fixture
def holders() -> VersionHolders:
    """Return a state in which one target is known to hold version 1."""
    version_holders = VersionHolders()
    version_holders.record_held('records', 1, 't1')
    return version_holders


def _chosen_number(holders, now: float, *, oldest: int = 1) -> int | None:
    listed = tuple(version for version in VERSIONS if version.number >= oldest)
    maps = ShardMapCache().newest_first(SERVICE, listed)
    chosen = choose_version(maps, 'records', holders, now)
    return chosen.number if chosen else None


def test_held_version_is_chosen_until_it_is_removed(holders) -> None:
    """Guards against queries at a new version that no target has loaded.

    Once the held version has left the catalogue, the newest one is chosen.
    """
    assert _chosen_number(holders, 0) == 1
    holders.keep_only('records', {2, 3})
    assert not holders.holders_by_version
    assert _chosen_number(holders, 0, oldest=2) == 3


def test_version_that_is_not_held_is_tried_again_later(holders) -> None:
    """Guards against a version that is never requested again.

    All replicas of a shard replied with status 409 before they loaded it.
    """
    for target in SHARD.replicas:
        holders.record_not_held('records', 3, target, now=0)
    assert _chosen_number(holders, 0, oldest=2) == 2
    assert _chosen_number(holders, 1, oldest=2) == 3
    assert _chosen_number(holders, 0, oldest=3) is None
