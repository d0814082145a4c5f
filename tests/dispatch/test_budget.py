"""Tests of the token budget of repeats and hedges."""

from datetime import timedelta
from itertools import chain

import pytest

from nutmegstep.dispatch.budget import BudgetLimits, RepeatBudget

_LIMITS = BudgetLimits(0.2, 54, timedelta(seconds=10))
_RESERVE = 0.3


def _spend_greedily(
    budget: RepeatBudget,
    start: float,
    requests: int,
    vm_count: int,
) -> list[float]:
    """Return the times of all extra sends within a window of 10 s.

    Every available token is spent at once.
    """
    interval = 10 / requests
    spent = []
    for number in range(requests):
        now = start + number * interval
        budget.earn(now, vm_count)
        while budget.spend(now, vm_count):
            spent.append(now)
    return spent


@pytest.mark.parametrize('vm_count', [1, 3, 7, 10])
@pytest.mark.parametrize('requests', [10, 200, 2000])
def test_window_stays_within_the_bound(vm_count: int, requests: int) -> None:
    """Guards against more extra sends in a window than ratio and slack allow.

    The VMs do not exchange messages, so their shares could sum up to too much,
    most likely when full buckets are spent at the start of a window.
    """
    budgets = [RepeatBudget(_LIMITS, 0) for _ in range(vm_count)]
    start = 100
    spent = chain.from_iterable(
        _spend_greedily(budget, start, requests, vm_count) for budget in budgets
    )
    bound = 0.2 * requests * vm_count + 54
    assert len(list(spent)) <= bound


def test_restart_within_a_window_stays_within_the_bound() -> None:
    """Guards against exceeding the bound by repeated restarts.

    Each new process would add a full bucket within one window if buckets were
    not empty at the start.
    """
    spent = 0
    for restart in range(10):
        budgets = [RepeatBudget(_LIMITS, restart) for _ in range(7)]
        spent += sum(budget.spend(restart + 0.99, 7) for budget in budgets)
    assert spent <= 54


@pytest.mark.parametrize('vm_count', [7, 65, 90])
def test_hedge_is_possible_with_many_vms(vm_count: int) -> None:
    """Guards against a large fleet in which no VM can send a hedge.

    The capacity of a VM falls to one token, less than one token and a reserve
    that did not take this into account.
    """
    budget = RepeatBudget(BudgetLimits(0.2, 170, timedelta(seconds=10)), 0)
    for second in range(20):
        budget.earn(second, vm_count)
    assert budget.spend(20, vm_count, _RESERVE)


def test_hedges_leave_tokens_to_repeats() -> None:
    """Guards against failed requests that cannot be repeated.

    Hedges of optional parts would use all tokens if they left no reserve.
    """
    budget = RepeatBudget(_LIMITS, 0)
    for second in range(100):
        budget.earn(second, 7)
    while budget.spend(100, 7, _RESERVE):
        """Use all that hedges may use."""
    assert budget.spend(100, 7)
