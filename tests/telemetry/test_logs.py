"""Tests of the JSON log lines."""

import json
import logging

import pytest

from nutmegstep.clock import ManualClock
from nutmegstep.runtime import RequestEnd
from nutmegstep.telemetry import (
    LogSpanExporter,
    Metrics,
    Telemetry,
    build_tracer,
    configure_logs,
)


def test_lines_are_json_with_the_request_identifier(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against log lines that cannot be matched to their request."""
    monkeypatch.setattr(logging.getLogger(), 'handlers', [])
    monkeypatch.setattr(logging.getLogger(), 'level', logging.WARNING)
    configure_logs('info')
    telemetry = Telemetry(
        build_tracer(LogSpanExporter(), 1),
        Metrics(tuple),
        ManualClock(),
    )
    trace = telemetry.begin('stock', 'r-1', '')
    trace.end(RequestEnd(503, 'incomplete', 'may_have_run'))
    lines = capsys.readouterr().err.splitlines()
    span = json.loads(lines[0])
    line = json.loads(lines[1])
    assert span['attributes']['request_id'] == 'r-1'
    assert span['trace_id'] in trace.traceparent
    assert (line['request_id'], line['verdict']) == ('r-1', 'may_have_run')
