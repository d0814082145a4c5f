"""Limits of accounts over a whole fleet."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegstep.accounts import ClientAccount
from nutmegstep.accounts.lending import candidates
from nutmegstep.verdict import Reason
from tests.dispatch.account_fleet import Fleet

_START = 14.0
"""Time in seconds in which all VMs have counted each other."""


def _started(account: ClientAccount, **fields: object) -> Fleet:
    fleet = Fleet(account, **fields)  # type: ignore[arg-type]
    fleet.run(_START)
    return fleet


def _owners(fleet: Fleet) -> list[str]:
    """Return the first VM in the order of owners of each slice."""
    return [candidates(number, fleet.vms)[0] for number in range(3)]


@pytest.mark.parametrize(
    ('rate', 'burst'), [(0.5, 2), (2, 0), (20, 20), (100, 0)]
)
def test_account_within_its_limit_is_not_refused(
    rate: float, burst: float
) -> None:
    """Guards against lost credit at accounts of any size."""
    fleet = _started(ClientAccount('clinic', 0, rate, burst))
    fleet.run(30, rate * 0.5)
    assert len(fleet.refusals) <= 0.02 * len(fleet.admitted)


@pytest.mark.parametrize(
    ('rate', 'burst'), [(0.5, 2), (2, 0), (20, 20), (100, 0)]
)
def test_account_far_beyond_its_limit_is_kept_to_it(
    rate: float, burst: float
) -> None:
    """Guards against a hot account, and against one that gets next to nothing as
    it asks for so much.
    """
    fleet = _started(ClientAccount('clinic', 0, rate, burst))
    fleet.run(20, max(40, rate * 4))
    assert fleet.most_in_window() <= fleet.bound.most
    assert len(fleet.admitted) >= 0.9 * rate * 20
    reasons = {refusal.reason for _, refusal in fleet.refusals}
    assert reasons == {Reason.OVER_LIMIT}


def test_refused_callers_cost_no_messages() -> None:
    """Guards against callers that retry at once and often, each time at the
    expense of other VMs.
    """
    fleet = _started(ClientAccount('clinic', 0, 0.5, 0))
    fleet.run(5, 50)
    before = fleet.messages
    fleet.run(5, 50)
    few = fleet.messages - before
    fleet.run(5, 500)
    assert fleet.messages - before - few <= 2 * few


def test_all_vms_alone_keep_to_the_limit() -> None:
    """Guards against VMs without any link that serve as much as all together."""
    fleet = _started(ClientAccount('clinic', 0, 20, 20), size=12)
    for number, name in enumerate(fleet.vms):
        fleet.cut((name,), number + 1)
    fleet.run(20, 200)
    assert fleet.most_in_window() <= fleet.bound.most


def test_both_sides_of_a_partition_have_their_part() -> None:
    """Guards against a domain that is cut off and serves nobody, or everybody."""
    fleet = _started(ClientAccount('clinic', 0, 30, 10), size=12)
    cut = [name for name in fleet.vms if int(name[3:]) % 3 == 0]
    fleet.cut(cut, 1)
    fleet.run(8, 20)
    since = fleet.now
    fleet.run(20, 8)
    assert fleet.refused_since(since) < 0.1 * 160
    fleet.run(10, 200)
    assert fleet.most_in_window() <= fleet.bound.most


def test_slices_of_a_killed_owner_are_taken_over() -> None:
    """Guards against accounts that lose a part of their limit for minutes."""
    fleet = _started(ClientAccount('clinic', 0, 20, 20))
    for owner in set(_owners(fleet)):
        fleet.kill(owner)
    fleet.run(10, 5)
    since = fleet.now
    fleet.run(20, 5)
    assert fleet.refused_since(since) <= 1


def test_fleet_that_was_killed_serves_soon_and_within_the_limit() -> None:
    """Guards against a limit that counts anew after a restart of all VMs, and
    against a minute of refusals.
    """
    fleet = _started(ClientAccount('clinic', 0, 20, 20))
    fleet.run(5, 100)
    for name in tuple(fleet.vms):
        fleet.kill(name)
        fleet.start(name, is_first=False)
    fleet.run(8, 100)
    since = fleet.now
    fleet.run(10, 8)
    assert fleet.refused_since(since) <= 2
    assert fleet.most_in_window() <= fleet.bound.most


def test_limit_that_is_lowered_binds_at_once() -> None:
    """Guards against stored tokens of a limit that no longer holds."""
    fleet = _started(ClientAccount('clinic', 0, 100, 100))
    fleet.run(5, 300)
    fleet.limit(ClientAccount('clinic', 0, 1, 1))
    fleet.run(5, 100)
    fleet.admitted.clear()
    fleet.run(10, 100)
    assert fleet.most_in_window() <= fleet.bound.most


def test_vm_that_hears_nobody_sends_callers_elsewhere() -> None:
    """Guards against 429, which is a promise, from a VM that does not know."""
    fleet = _started(ClientAccount('clinic', 0, 20, 20))
    fleet.start('vm-99', is_first=False)
    fleet.cut(('vm-99',), 1)
    fleet.run(3)
    fleet.ask('vm-99')
    assert fleet.refusals[-1][1].reason is Reason.LIMIT_UNKNOWN


def test_vms_without_a_store_go_on() -> None:
    """Guards against refusals in an outage of the store."""
    fleet = _started(ClientAccount('clinic', 0, 20, 20))
    fleet.is_store_up = False
    fleet.run(120)
    since = fleet.now
    fleet.run(20, 10)
    assert fleet.refused_since(since) <= 2


_FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ('kill', 'restart', 'freeze', 'cut', 'heal', 'join', 'lose')
        ),
        st.integers(0, 6),
        st.floats(0.2, 6),
    ),
    max_size=8,
)


def _break(fleet: Fleet, fault: str, number: int) -> None:
    name = f'vm-{number}'
    pair = (name, f'vm-{(number + 1) % 7}')
    action_by_fault = {
        'kill': lambda: fleet.kill(name),
        'restart': lambda: fleet.start(name, is_first=False),
        'freeze': lambda: fleet.freeze(name, 1 + number * 2),
        'cut': lambda: fleet.cut(pair, number),
        'heal': fleet.group_by_vm.clear,
        'join': lambda: fleet.start(f'vm-{7 + number}', is_first=False),
        'lose': lambda: setattr(fleet, 'loss', number / 10),
    }
    action_by_fault[fault]()


# A guard against a hang: 60 fleets exchange some ten thousand messages each.
@pytest.mark.timeout(600)
@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 10_000),
    st.sampled_from([(0.5, 2), (5, 0), (20, 20), (60, 100)]),
    _FAULTS,
    st.floats(0.001, 0.3),
)
def test_sum_never_passes_the_bound_and_calm_returns(
    seed: int,
    limit: tuple[float, float],
    faults: list[tuple[str, int, float]],
    latest: float,
) -> None:
    """Guards against two owners, late grants, lost loans and VMs that wake, which
    would add up to more than the limit.
    """
    rate, burst = limit
    fleet = _started(
        ClientAccount('clinic', 0, rate, burst), seed=seed, latest=latest
    )
    for fault, number, seconds in faults:
        _break(fleet, fault, number)
        fleet.run(seconds, rate * 3 + 10)
    assert fleet.most_in_window() <= fleet.bound.most
    fleet.group_by_vm.clear()
    fleet.loss = 0
    fleet.latest = 0.003
    for name, vm in tuple(fleet.vms.items()):
        if not vm.is_alive:
            fleet.start(name, is_first=False)
    fleet.run(130)
    since = fleet.now
    fleet.run(20, rate * 0.4)
    assert fleet.refused_since(since) <= 1
    assert fleet.most_in_window() <= fleet.bound.most


def test_one_vm_owns_each_slice_from_the_start() -> None:
    """Guards against accounts that are refused at the start, as many VMs take a
    part of each limit before the first of them is heard.
    """
    fleet = Fleet(ClientAccount('clinic', 0, 20, 20), size=12)
    fleet.run(8)
    owners = [
        (name, number)
        for name, vm in fleet.vms.items()
        for number in vm.state.account_limits.owned_by_slice
    ]
    assert sorted(owners) == sorted(
        (candidates(number, fleet.vms)[0], number) for number in range(3)
    )
