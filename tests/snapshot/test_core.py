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
from nutmegstep.snapshot import HeldVersions, choose_version

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
def held() -> HeldVersions:
    """Return knowledge of version 1 only."""
    made = HeldVersions()
    made.note_held('records', 1, 't1')
    return made


def test_held_version_wins_until_it_is_gone(held) -> None:
    """Guards against a newest version that no target has loaded yet."""
    chosen = choose_version(VERSIONS, SERVICE, held, 0)
    assert chosen == VERSIONS[0]
    held.keep_only('records', {2, 3})
    assert not held.holders_by_version
    assert choose_version(VERSIONS[1:], SERVICE, held, 0) == VERSIONS[2]


def test_lacking_version_is_left_out_and_asked_again_later(held) -> None:
    """Guards against a version that is never tried again after a 409."""
    for target in SHARD.replicas:
        held.note_lacking('records', 3, target, now=0)
    assert choose_version(VERSIONS[1:], SERVICE, held, 0) == VERSIONS[1]
    assert choose_version(VERSIONS[1:], SERVICE, held, 1) == VERSIONS[2]
    assert choose_version(VERSIONS[2:], SERVICE, held, 0) is None
