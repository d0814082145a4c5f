"""Observes callers' requests: a span, a counter and a log line each."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from opentelemetry.trace import (
    Span,
    SpanKind,
    Tracer,
    set_span_in_context,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from nutmegstep.clock import Clock
from nutmegstep.runtime.ports import RequestTrace
from nutmegstep.telemetry.metrics import Metrics

__all__ = ['Telemetry']

_LOG: Final = logging.getLogger(__name__)
_PROPAGATOR: Final = TraceContextTextMapPropagator()
_TRACEPARENT: Final = 'traceparent'


class Telemetry:
    """Implements `RequestObserver`.

    Parameters
    ----------
    tracer : Tracer
        Makes the spans.
    metrics : Metrics
        Counts requests.
    clock : Clock
        Measures requests.
    """

    def __init__(self, tracer: Tracer, metrics: Metrics, clock: Clock) -> None:
        self.metrics = metrics
        self._tracer = tracer
        self._clock = clock

    def begin(
        self,
        service: str,
        request_id: str,
        traceparent: str,
    ) -> RequestTrace:
        """Start to observe a request of a caller."""
        span = self._tracer.start_span(
            'caller request',
            _PROPAGATOR.extract({_TRACEPARENT: traceparent}),
            SpanKind.SERVER,
        )
        started = self._clock.monotonic()

        def end(status: int, outcome: str) -> None:
            seconds = self._clock.monotonic() - started
            self.metrics.count_request(service, outcome, seconds)
            _end_span(span, request_id, status, outcome)
            _LOG.debug(
                'request ended',
                extra={'request_id': request_id, 'outcome': outcome},
            )

        return _CallerTrace(_format(span), end)

    def count_early_refusal(self, reason: str) -> None:
        """Count a request that was refused by its head."""
        self.metrics.count_early_refusal(reason)


@dataclass(frozen=True, slots=True)
class _CallerTrace:
    traceparent: str
    end: Callable[[int, str], None]


def _end_span(span: Span, request_id: str, status: int, outcome: str) -> None:
    if span.is_recording():
        span.set_attribute('request_id', request_id)
        span.set_attribute('http.response.status_code', status)
        span.set_attribute('outcome', outcome)
    span.end()


def _format(span: Span) -> str:
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(span))
    return carrier.get(_TRACEPARENT, '')
