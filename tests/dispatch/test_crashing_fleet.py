"""A request that crashes the targets that run it, over all VMs of a fleet."""

import pytest

from tests.dispatch.crashing_fleet import CrashingFleet

_CRASHES = 3
_TOLERATED_RETRIES = 3
_SHARDS = 10
_LONE_HEDGES = 2
_TRIALS = 3
_LEARN_SECONDS = 0.05
"""Time from a crash until all VMs know of it."""
_FREQUENT_PER_SECOND = 45
_DOMAINS = ('north', 'south', 'west')


@pytest.mark.parametrize('restarts', [False, True])
@pytest.mark.parametrize('per_second', [0.5, 3, 20])
@pytest.mark.parametrize('path', ['/fetch/x', '/order/x', '/sweep/x'])
@pytest.mark.parametrize('vms', [1, 7, 65, 195])
def test_crashing_request_is_not_sent_on(
    vms: int, path: str, per_second: float, restarts: bool
) -> None:
    """Guards against a request that crashes one target after the other, as its
    attempts reach VMs that do not know of the crashes before.
    """
    fleet = CrashingFleet(vms, path)
    for round_number in range(12):
        fleet.run(5, per_second)
        if restarts:
            fleet.restart(round_number % vms)
    assert len(fleet.crashed_at) >= _CRASHES
    assert fleet.counted_retries() <= _TOLERATED_RETRIES


@pytest.mark.parametrize('others_per_second', [20, 90])
@pytest.mark.parametrize('per_second', [0.1, 0.5, 2])
@pytest.mark.parametrize('vms', [1, 7, 65])
def test_crashing_query_spares_most_targets(
    vms: int, per_second: float, others_per_second: float
) -> None:
    """Guards against a query over many shards that ends whole services, as its
    crashes pass for a power cut or for the loss of links, and its hedges and
    repeats reach further targets before the first one is known to have crashed.
    """
    fleet = CrashingFleet(vms, '/sweep/x', store_seconds=0.02)
    fleet.run(40, per_second, others_per_second)
    unaware = fleet.attempts_before(fleet.crashed_at[0] + _LEARN_SECONDS)
    fleet.run(1, 3)
    assert fleet.counted_retries() <= _TOLERATED_RETRIES
    allowed = unaware * (_SHARDS + _LONE_HEDGES) + _TRIALS
    assert len(fleet.crashed_at) <= allowed
    assert set(fleet.refused_paths) == {'/sweep/x'}
    assert not fleet.waiting


@pytest.mark.parametrize('vms', [1, 7, 65])
def test_power_cuts_suspect_nobody_for_long(vms: int) -> None:
    """Guards against refusing frequent requests that were in flight on many
    targets as failure domains lost their power, one after the other.
    """
    fleet = CrashingFleet(vms, '/sweep/x', store_seconds=0.02)
    for round_number in range(6):
        fleet.run(5, 0, others_per_second=60)
        fleet.cut_power(_DOMAINS[round_number % len(_DOMAINS)])
    fleet.run(5, 0, others_per_second=60)
    assert fleet.crashed_at
    assert not fleet.refused_paths
    assert not fleet.waiting


@pytest.mark.parametrize('crash_seconds', [0, 0.1, 0.5, 2])
@pytest.mark.parametrize('path', ['/fetch/latest', '/sweep/latest'])
@pytest.mark.parametrize('vms', [1, 7, 65])
def test_outage_of_a_service_restricts_nobody_for_long(
    vms: int, path: str, crash_seconds: float
) -> None:
    """Guards against refusing a frequent harmless request for half an hour, as it
    was in flight on many targets when all of them crashed at once.
    """
    fleet = CrashingFleet(
        vms, '/order/x', 0.02, other_paths=(path,), run_seconds=0.133
    )
    fleet.run(5, 0, _FREQUENT_PER_SECOND)
    fleet.end_services(crash_seconds)
    fleet.run(30, 0, _FREQUENT_PER_SECOND)
    assert not fleet.is_any_suspected()
    refused = len(fleet.refused_paths)
    fleet.run(5, 0, _FREQUENT_PER_SECOND)
    assert len(fleet.refused_paths) == refused
