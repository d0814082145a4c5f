"""Tests of the hedge delay and of the token budgets."""

from nutmegstep.hedging import HEDGE_SHARE, LatencyWindow, TokenBudget


def test_answers_of_stragglers_do_not_delay_hedges() -> None:
    """Guards against a hedge delay that is as long as slow targets take.

    A third of the answers come from slow targets and raise the p95.
    """
    window = LatencyWindow()
    for number in range(64):
        window.add(0.01 if number % 3 else 0.1)
    assert window.hedge_delay < window.p99 / 2


def test_budget_is_a_share_with_a_bounded_burst() -> None:
    """Guards against a large burst of extra requests.

    Without a capacity, tokens would add up while none is needed.
    """
    budget = TokenBudget(HEDGE_SHARE)
    budget.earn(10_000)
    burst = sum(budget.spend() for _ in range(100))
    budget.earn(1000)
    spent = sum(budget.spend() for _ in range(100))
    assert (burst, spent) == (25, 25)
    budget.earn(100)
    assert sum(budget.spend() for _ in range(100)) == 5
