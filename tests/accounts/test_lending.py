"""Shares that VMs lend to the owners of slices."""

import math

import pytest

from nutmegstep.accounts.lending import (
    BorrowedShares,
    LentShare,
    candidates,
    loan_seconds,
    poll_interval,
)


def test_share_is_lent_to_one_owner_at_a_time() -> None:
    """Guards against two owners that hand out the same part of a limit."""
    lent = LentShare()
    assert lent.lend('a', 3, now=10)
    assert not lent.lend('b', 3, now=12.9)
    assert lent.lend('a', 3, now=12.9)
    assert not lent.lend('b', 3, now=15)
    assert lent.owner_at(15) == 'a'
    assert lent.lend('b', 3, now=15.9)
    assert lent.owner_at(16) == 'b'


def test_shorter_loan_does_not_end_a_longer_one() -> None:
    """Guards against a share that is lent again while its owner still uses it."""
    lent = LentShare()
    lent.lend('a', 10, now=0)
    lent.lend('a', 3, now=1)
    assert not lent.lend('b', 3, now=9)


def test_silent_owner_is_followed_no_longer() -> None:
    """Guards against a VM without a share that goes on asking a killed owner."""
    lent = LentShare()
    lent.follow('a', 3, now=0)
    lent.follow('b', 3, now=1)
    assert lent.owner_at(2) == 'a'
    assert not lent.owner_at(3)
    lent.follow('b', 3, now=3)
    assert lent.owner_at(4) == 'b'


def test_loan_ends_at_the_owner_before_it_ends_at_the_lender() -> None:
    """Guards against an owner that uses a share which is lent to the next one."""
    shares = BorrowedShares(0)
    shares.borrow('vm-1', 0.5, until=3, now=0)
    shares.settle(2.8)
    assert shares.total() == pytest.approx(0.5)
    shares.settle(2.95)
    assert not shares.total()


def test_owner_that_was_frozen_has_nothing() -> None:
    """Guards against tokens that are minted for the time of a freeze."""
    shares = BorrowedShares(0)
    shares.borrow('vm-1', 1, until=3, now=0)
    assert shares.settle(600) == pytest.approx(2.9)
    shares.borrow('vm-1', 1, until=3, now=600)
    assert not shares.total()


def test_renewed_loan_counts_once() -> None:
    """Guards against a share that two polls count twice."""
    shares = BorrowedShares(0)
    for now in map(float, range(3)):
        shares.borrow('vm-1', 0.25, until=now + 3, now=now)
        shares.borrow('vm-1', 0.25, until=now + 2, now=now)
    assert shares.settle(4) == pytest.approx(1)


def test_candidates_keep_their_order_as_vms_come_and_go() -> None:
    """Guards against owners that change whenever any VM does."""
    names = [f'vm-{number}' for number in range(30)]
    order = candidates(1, names)
    fewer = [name for name in order if name != 'vm-3']
    assert candidates(1, fewer) == tuple(fewer)
    assert candidates(2, names) != order


@pytest.mark.parametrize(
    ('count', 'seconds'), [(7, 0.5), (66, 0.5), (4500, 30)]
)
def test_polls_of_an_owner_stay_few(count: int, seconds: float) -> None:
    """Guards against an owner whose processor is used up by a large fleet."""
    assert poll_interval(count) == pytest.approx(seconds)
    assert count / poll_interval(count) <= 150 + math.ulp(150)
    assert loan_seconds(count) >= 3 * poll_interval(count)
