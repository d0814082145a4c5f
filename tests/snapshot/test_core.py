"""Tests of the choice of the index version."""

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
def held() -> VersionHolders:
    """Return knowledge of version 1 only."""
    made = VersionHolders()
    made.record_held('records', 1, 't1')
    return made


def _chosen_number(held, now: float, *, oldest: int = 1) -> int | None:
    known = tuple(one for one in VERSIONS if one.number >= oldest)
    maps = ShardMapCache().newest_first(SERVICE, known)
    chosen = choose_version(maps, 'records', held, now)
    return chosen.number if chosen else None


def test_held_version_wins_until_it_is_gone(held) -> None:
    """Guards against a newest version that no target has loaded yet."""
    assert _chosen_number(held, 0) == 1
    held.keep_only('records', {2, 3})
    assert not held.holders_by_version
    assert _chosen_number(held, 0, oldest=2) == 3


def test_lacking_version_is_left_out_and_asked_again_later(held) -> None:
    """Guards against a version that is never tried again after a 409."""
    for target in SHARD.replicas:
        held.record_not_held('records', 3, target, now=0)
    assert _chosen_number(held, 0, oldest=2) == 2
    assert _chosen_number(held, 1, oldest=2) == 3
    assert _chosen_number(held, 0, oldest=3) is None
