"""Tracer, and an exporter that writes spans to the log."""

import logging
from collections.abc import Sequence
from typing import Final

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Tracer, format_span_id, format_trace_id

__all__ = ['LogSpanExporter', 'build_tracer']

_LOG: Final = logging.getLogger(__name__)
_NANOSECONDS: Final = 1e9


class LogSpanExporter(SpanExporter):
    """Writes each span as one JSON log line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans to the log."""
        for span in spans:
            _LOG.info('span', extra=_describe(span))
        return SpanExportResult.SUCCESS


def build_tracer(exporter: SpanExporter, sampling_ratio: float) -> Tracer:
    """Return a tracer that records a fraction of new traces.

    Parameters
    ----------
    exporter : SpanExporter
        Receives the spans that have ended.
    sampling_ratio : float
        Fraction of the traces without a parent span that are recorded, from 0
        to 1. A span with a parent is recorded if the parent is.
    """
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(sampling_ratio)),
        resource=Resource.create({'service.name': 'nutmegstep'}),
    )
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    return provider.get_tracer('nutmegstep')


def _describe(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    assert context is not None
    length = (span.end_time or 0) - (span.start_time or 0)
    return {
        'span': span.name,
        'trace_id': format_trace_id(context.trace_id),
        'span_id': format_span_id(context.span_id),
        'parent_id': format_span_id(span.parent.span_id if span.parent else 0),
        'seconds': length / _NANOSECONDS,
        'attributes': dict(span.attributes or {}),
    }
