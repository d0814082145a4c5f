"""Rate limit of the decision log."""

import logging

import pytest

from nutmegstep.clock import ManualClock
from nutmegstep.dispatch.effects import Decision
from nutmegstep.gateway.decisions import DecisionLog

_HEDGE = Decision('hedge', 'caller-1', {'service': 'shard-1'})
_REFUSED = Decision('refused', 'caller-2', {'reason': 'no_target'})


def test_line_names_the_request_and_its_inputs(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against lines that cannot be found by a request's identifier."""
    with caplog.at_level(logging.INFO):
        DecisionLog(ManualClock()).write(_HEDGE)
    record = vars(caplog.records[0])
    assert record['message'] == 'hedge'
    assert record['request_id'] == 'caller-1'
    assert record['service'] == 'shard-1'


def test_flood_is_bounded_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against logging that takes up the CPU when many decisions are made
    at once.
    """
    clock = ManualClock()
    log = DecisionLog(clock)
    with caplog.at_level(logging.INFO):
        for _ in range(10_000):
            clock.advance(0.001)
            log.write(_HEDGE)
    assert len(caplog.records) < 1000
    assert log.omitted == 10_000 - len(caplog.records)


def test_refusals_are_logged_during_a_flood(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against refusals without a log line, because frequent decisions
    have used up the rate.
    """
    log = DecisionLog(ManualClock())
    with caplog.at_level(logging.INFO):
        for _ in range(1000):
            log.write(_HEDGE)
        log.write(_REFUSED)
    record = vars(caplog.records[-1])
    assert record['message'] == 'refused'
    assert record['omitted_before'] > 0
