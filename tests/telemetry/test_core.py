"""Tests of spans and metrics."""

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)
from prometheus_client import generate_latest

from nutmegstep.clock import ManualClock
from nutmegstep.telemetry import Metrics, Telemetry, build_tracer

_TRACE = '0af7651916cd43dd8448eb211c80319c'
_PARENT = f'00-{_TRACE}-b7ad6b7169203331-0'


@pytest.mark.parametrize(('flag', 'spans'), [('0', 0), ('1', 1)])
def test_context_is_passed_on(flag: str, spans: int) -> None:
    """Guards against a trace that breaks when it is not recorded."""
    exporter = InMemorySpanExporter()
    telemetry = Telemetry(
        build_tracer(exporter, 0),
        Metrics(tuple),
        ManualClock(),
    )
    trace = telemetry.begin('stock', 'r-1', f'{_PARENT}{flag}')
    assert trace.traceparent.startswith(f'00-{_TRACE}-')
    assert trace.traceparent.endswith(f'-0{flag}')
    trace.end(200, 'answer')
    assert len(exporter.get_finished_spans()) == spans
    assert telemetry.begin('stock', 'r-2', '').traceparent


def test_label_values_are_bounded() -> None:
    """Guards against callers that create time series by service names."""
    metrics = Metrics(lambda: {'stock'})
    for service in ('stock', 'guess-1', 'guess-2'):
        metrics.count_request(service, 'answer', 0.1)
    text = generate_latest(metrics.registry).decode()
    assert 'service="stock"' in text
    assert 'nutmegstep_requests_total{outcome="answer",service="other"} 2' in (
        text
    )
    assert 'guess' not in text
