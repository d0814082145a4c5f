"""Tests of the delays that follow from recent latencies."""

from nutmegstep.hedging import LatencyWindow


def test_answers_of_stragglers_do_not_delay_hedges() -> None:
    """Guards against hedges that come as late as the stragglers answer."""
    window = LatencyWindow()
    for number in range(64):
        window.add(0.01 if number % 3 else 0.1)
    assert window.hedge_delay < window.tail / 2
