"""Tests of the hedge delay and the budgets."""

from nutmegstep.hedging import HEDGE_SHARE, LatencyWindow, TokenBudget


def test_delay_follows_the_load_and_forgets() -> None:
    """Guards against a hedge delay of an earlier load."""
    seconds = 0.001
    window = LatencyWindow()
    for number in range(512):
        window.add(seconds * (number % 100))
    assert 94 * seconds <= window.hedge_delay <= 96 * seconds
    for _ in range(512):
        window.add(seconds)
    assert window.hedge_delay == window.tail == seconds


def test_budget_is_a_share_with_a_bounded_burst() -> None:
    """Guards against extra load beyond the share after a quiet time."""
    budget = TokenBudget(HEDGE_SHARE)
    budget.earn(10_000)
    burst = sum(budget.spend() for _ in range(100))
    budget.earn(1000)
    spent = sum(budget.spend() for _ in range(100))
    assert (burst, spent) == (25, 25)
    budget.earn(100)
    assert sum(budget.spend() for _ in range(100)) == 5
