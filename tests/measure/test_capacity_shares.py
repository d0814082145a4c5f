"""Tests of the sums of the shares of all VMs."""

from random import Random

import pytest

from nutmegstep.measure.capacity_shares import (
    SCENARIOS_BY_NAME,
    connection_share,
    measure_sums,
)
from nutmegstep.measure.capacity_vms import Domain, Rules, run_until, start_vm


@pytest.mark.parametrize('scenario', SCENARIOS_BY_NAME)
def test_one_vm_at_a_time_loads_a_cold_target(scenario: str) -> None:
    """Guards against leases that let two VMs send to the same cold target."""
    sums = measure_sums(scenario, 3, 2)
    assert sums.peak_senders == 1
    assert 0 < sums.loaded_share < 1


def test_two_rosters_without_a_shared_member_are_counted() -> None:
    """Guards against a count of senders that does not show violations.

    The two VMs get no messages and no list, so that their rosters share no
    member.
    """
    domain = Domain(Rules(1, ('target-1',)), Random(1))
    start_vm(domain)
    start_vm(domain)
    domain.is_cut = lambda sender, receiver: True
    domain.lists.clear()
    run_until(domain, 10)
    assert domain.peak_senders == 2


def test_connections_of_one_lost_generation_fit() -> None:
    """Guards against shares that leave no room for half-open connections.

    A target keeps the connections of replaced VMs as long as it does not
    notice their loss.
    """
    holders = measure_sums('rolling replacement', 7, 1).peak_holders
    assert holders == 14
    for connections in range(14, 101):
        assert holders * connection_share(connections, 7) <= connections
