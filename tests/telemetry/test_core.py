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
def test_trace_context_is_passed_on(flag: str, spans: int) -> None:
    """Guards against a trace that ends at this process if not sampled.

    The trace identifier must be passed on even if no span is recorded, since
    other processes may record theirs.
    """
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


def test_target_request_has_its_own_span() -> None:
    """Guards against spans of target requests with a wrong parent.

    The span of the target request is a child of the caller's, and the target
    receives the context of the former.
    """
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
    """Guards against platform calls that are missing in traces."""
    exporter = InMemorySpanExporter()
    telemetry = Telemetry(
        build_tracer(exporter, 1),
        Metrics(tuple),
        ManualClock(),
    )
    with telemetry.platform_call('get config') as traceparent:
        assert int(traceparent[-2:], 16) & 1
    assert exporter.get_finished_spans()[0].name == 'platform get config'


def test_unknown_services_share_a_label_value() -> None:
    """Guards against callers that create time series with made-up names."""
    metrics = Metrics(lambda: {'stock'})
    for service in ('stock', 'guess-1', 'guess-2'):
        metrics.count_request(service, 'answer', 0.1)
    text = generate_latest(metrics.registry).decode()
    assert 'service="stock"' in text
    assert 'nutmegstep_requests_total{outcome="answer",service="other"} 2' in (
        text
    )
    assert 'guess' not in text
