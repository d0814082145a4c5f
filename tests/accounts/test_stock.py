"""Tokens at the VM that takes requests, and at the owner of a slice."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmegstep.accounts import AccountBound, ClientAccount, LimitTolerance
from nutmegstep.accounts.bounds import SLICES
from nutmegstep.accounts.buckets import OwnedSlice
from nutmegstep.accounts.stock import TokenStock


def _bound(rate: float, burst: float = 0) -> AccountBound:
    return AccountBound(
        ClientAccount('clinic', 0, rate, burst), LimitTolerance()
    )


def test_expired_token_is_not_used() -> None:
    """Guards against a VM that wakes and sends what it was granted before."""
    stock = TokenStock()
    stock.add(2, expires_at=10)
    stock.add(1, expires_at=12)
    assert stock.take(9) == 10
    assert stock.take(11) == 12
    assert stock.take(11) is None


def test_token_that_is_given_back_keeps_its_expiry() -> None:
    """Guards against tokens that live for ever as they are given back."""
    stock = TokenStock()
    stock.give_back(10)
    assert stock.take(10) is None


def test_answer_counts_once_also_when_it_is_late() -> None:
    """Guards against a datagram that comes twice."""
    stock = TokenStock()
    stock.record_question(1, 5.0)
    stock.asked_at_by_slice.clear()
    assert stock.accept(1, 5.0)
    assert not stock.accept(1, 5.0)
    assert not stock.accept(1, 4.0)


def test_token_returns_when_the_first_owner_has_one() -> None:
    """Guards against a time to return that an owner which did not answer gave."""
    stock = TokenStock()
    stock.mark_dry(0, 20, 10, is_exhausted=True)
    stock.mark_dry(1, 15, 10, is_exhausted=True)
    stock.mark_dry(2, 10.5, 10, is_exhausted=False)
    assert stock.is_exhausted(10)
    assert stock.returns_at() == 15
    assert not stock.is_exhausted(25)


def test_owner_without_a_token_is_asked_again_before_it_has_one() -> None:
    """Guards against refusals for a minute after a limit was raised, or after
    a new owner stated the wait that its first few shares allow.
    """
    stock = TokenStock()
    stock.mark_dry(0, 60, 0, is_exhausted=True)
    assert stock.is_dry(0, 0.9)
    assert not stock.is_dry(0, 1)
    assert stock.returns_at() == 60


def test_late_answer_ends_the_silence_of_an_owner() -> None:
    """Guards against half a second of refusals at a VM whose owners all answer a
    little late.
    """
    stock = TokenStock()
    stock.mark_dry(0, 0.5, 0, is_exhausted=False)
    stock.mark_dry(1, 0.5, 0, is_exhausted=True)
    stock.clear_silence(0)
    stock.clear_silence(1)
    assert not stock.is_dry(0, 0.1)
    assert stock.is_dry(1, 0.1)


def test_questions_of_callers_that_left_are_dropped() -> None:
    """Guards against owners that are never asked again, as the callers left before
    an answer that was lost.
    """
    stock = TokenStock()
    stock.record_question(0, 1)
    stock.record_question(1, 2)
    stock.forget_unanswered(1.5)
    assert stock.asked_at_by_slice == {1: 2}
    assert not stock.is_dry(0, 2)


def test_shares_that_never_make_up_a_token_own_nothing() -> None:
    """Guards against a VM that is cut off and tells callers a time at which its
    share of a limit would have a token, which it never has.
    """
    owned = OwnedSlice(0)
    owned.shares.borrow('vm-1', 1 / 66, until=100, now=0)
    assert owned.grant(_bound(20, 20), 1, now=90) is None


def test_shares_that_were_counted_too_large_mint_no_more_than_one() -> None:
    """Guards against a sum over the limit while VMs count too few others."""
    owned = OwnedSlice(0)
    for number in range(5):
        owned.shares.borrow(f'vm-{number}', 1, until=100, now=0)
    assert owned.shares.settle(10) == pytest.approx(10)


def test_new_owner_begins_with_an_empty_bucket() -> None:
    """Guards against a burst that each restart of an owner allows again."""
    owned = OwnedSlice(0)
    owned.shares.borrow('vm-1', 1, until=3, now=0)
    assert not owned.grant(_bound(30, 60), 5, now=0).tokens
    assert owned.grant(_bound(30, 60), 50, now=1).tokens == 10


def test_owner_without_shares_forgets_its_tokens() -> None:
    """Guards against tokens that outlast the loans that they were minted from."""
    owned = OwnedSlice(0)
    owned.shares.borrow('vm-1', 1, until=3, now=0)
    owned.grant(_bound(30, 60), 0, now=2)
    assert not owned.is_lent(10)
    owned.shares.borrow('vm-1', 1, until=13, now=10)
    assert not owned.grant(_bound(30, 60), 5, now=10).tokens


def test_part_of_the_shares_holds_a_part_of_the_burst() -> None:
    """Guards against both sides of a partition storing the whole burst."""
    bound = _bound(30, 60)
    owned = OwnedSlice(0)
    owned.shares.borrow('vm-1', 0.25, until=1000, now=0)
    assert owned.grant(bound, 1000, now=900).tokens <= bound.slice_depth / 4


def test_owner_says_when_the_next_token_comes() -> None:
    """Guards against callers that return too early, or far too late."""
    owned = OwnedSlice(0)
    owned.shares.borrow('vm-1', 0.5, until=100, now=0)
    grant = owned.grant(_bound(30), 5, now=0)
    assert not grant.tokens
    assert grant.wait == pytest.approx(1 / (30 / SLICES * 0.5))


@given(
    st.floats(0.01, 5000),
    st.floats(0, 5000),
    st.floats(0.5, 60),
    st.floats(0, 1),
    st.floats(0, 200),
)
def test_stored_and_granted_tokens_stay_within_the_tolerance(
    rate: float, burst: float, window: float, overshoot: float, slack: float
) -> None:
    """Guards against a bound that the arithmetic itself breaks."""
    tolerance = LimitTolerance(timedelta(seconds=window), overshoot, slack)
    bound = AccountBound(ClientAccount('a', 0, rate, burst), tolerance)
    seconds = tolerance.window.total_seconds()
    granted_before = bound.lifetime * rate
    stored = bound.slice_depth * SLICES
    assert bound.lifetime >= 0
    assert bound.slice_depth >= 0
    used = rate * seconds + granted_before + stored
    assert used <= bound.most * (1 + 1e-9)
