"""Tests of spans and metrics."""

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)
from prometheus_client import generate_latest

from nutmegstep.clock import ManualClock
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind, TargetFailed
from nutmegstep.runtime import RequestEnd
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
    trace.end(RequestEnd(200, 'answer'))
    assert len(exporter.get_finished_spans()) == spans
    assert telemetry.begin('stock', 'r-2', '').traceparent


def test_each_hop_has_its_span() -> None:
    """Guards against target requests that hang on the wrong span."""
    exporter = InMemorySpanExporter()
    tracer = build_tracer(exporter, 1)
    telemetry = Telemetry(tracer, Metrics(tuple), ManualClock())
    trace = telemetry.begin('stock', 'r-1', '')
    effect = SendToTarget(1, 1, 't', 's', 1, b'', 1, trace.traceparent)
    failure = TargetFailed(1, FailureKind.SHED, may_have_run=False)
    reported: list[object] = []
    observed = telemetry.observe_send(effect, reported.append)
    observed.report(failure)
    trace.end(RequestEnd(503, 'incomplete', 'not_run'))
    target, caller = exporter.get_finished_spans()
    assert reported == [failure]
    assert target.parent is not None
    assert target.parent.span_id == caller.context.span_id
    assert f'{target.context.span_id:016x}' in observed.effect.traceparent
    assert (target.attributes or {})['outcome'] == 'shed'


def test_platform_call_has_a_span() -> None:
    """Guards against platform calls that no trace shows."""
    exporter = InMemorySpanExporter()
    telemetry = Telemetry(
        build_tracer(exporter, 1),
        Metrics(tuple),
        ManualClock(),
    )
    with telemetry.platform_call('get config') as traceparent:
        assert int(traceparent[-2:], 16) & 1
    assert exporter.get_finished_spans()[0].name == 'platform get config'


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
