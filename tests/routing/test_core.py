"""Tests of the selection of replicas and of the limit of requests in flight."""

from random import Random

import pytest

from nutmegstep.model import Fleet, Target
from nutmegstep.routing import TargetTable, choose_replica


@pytest.fixture
def table() -> TargetTable:
    """Return statistics of three targets, one per failure domain."""
    targets = [Target(name, '::1', 1, name, 4, 1, 80) for name in 'abc']
    made = TargetTable()
    by_name = {target.name: target for target in targets}
    made.apply_fleet(Fleet(1, {}, by_name, 7, {}))
    return made


def _choices(table, names, domain='a'):
    targets = [Target(name, '::1', 1, name, 4, 1, 80) for name in names]
    random = Random(3)
    chosen = [choose_replica(targets, table, domain, random) for _ in range(50)]
    return {target.name if target else None for target in chosen}


def test_own_domain_goes_first_unless_slow(table) -> None:
    """Guards against unneeded traffic between failure domains.

    It also guards against a strict preference, which would keep sending to a
    slow target of the same failure domain.
    """
    assert _choices(table, 'abc') == {'a'}
    table.stats_by_name['a'].latency = 1
    assert _choices(table, 'abc') == {'b', 'c'}
    assert _choices(table, 'a') == {'a'}


def test_no_replica_without_a_free_slot(table) -> None:
    """Guards against exceeding the limit of requests in flight.

    Two replicas have no free slot and the third one is too slow.
    """
    for name in 'bc':
        table.stats_by_name[name].in_flight = 4
    table.stats_by_name['a'].latency = 1
    assert _choices(table, 'abc') == {None}


def test_limit_halves_on_a_shed_and_recovers(table) -> None:
    """Guards against a limit below one or above its maximum.

    It also guards against a limit that stays low after the target has shed
    requests.
    """
    stats = table.stats_by_name['a']
    for _ in range(5):
        stats.record_shed()
    assert stats.limit == 1
    for _ in range(40):
        stats.record_answer(0.01)
    assert stats.limit == stats.max_limit == 4


def test_target_that_fails_quickly_is_avoided(table) -> None:
    """Guards against sending all requests to a target that has crashed.

    It refuses connections faster than any healthy replica answers.
    """
    table.stats_by_name['a'].record_failure()
    assert _choices(table, 'abc') == {'b', 'c'}


def test_target_that_is_always_overtaken_is_avoided(table) -> None:
    """Guards against preferring a slow target whose requests are all hedged.

    Its requests are cancelled when the hedge is answered, so that its own
    latency is never measured.
    """
    for _ in range(6):
        table.stats_by_name['a'].record_overtaken(0.02)
    assert _choices(table, 'abc') == {'b', 'c'}
