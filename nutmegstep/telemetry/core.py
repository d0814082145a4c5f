"""Records callers' requests, target requests and platform calls."""

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
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
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import TargetAnswered, TargetFailed
from nutmegstep.runtime.protocols import (
    ObservedSend,
    OutcomeCallback,
    RequestEnd,
    RequestTrace,
)
from nutmegstep.telemetry.metrics import Metrics
from nutmegstep.verdict import Verdict

__all__ = ['Telemetry']

_LOG: Final = logging.getLogger(__name__)
_PROPAGATOR: Final = TraceContextTextMapPropagator()
_TRACEPARENT: Final = 'traceparent'
# The last hexadecimal digit of the trace flags is odd in sampled traces.
_SAMPLED_SUFFIXES: Final = tuple('13579bdf')
_FREQUENT_VERDICTS: Final = ('', Verdict.NOT_RUN.value)


class Telemetry:
    """Records spans, metrics and log lines of an entry process.

    Implements `RequestObserver`; its method `observe_send` is a
    `SendObserver`.

    Parameters
    ----------
    tracer : Tracer
        Creates the spans.
    metrics : Metrics
        Counts requests.
    clock : Clock
        Measures the duration of requests.
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
        """Start to record a request of a caller; see `RequestObserver`."""
        span = self._tracer.start_span(
            'caller request',
            _PROPAGATOR.extract({_TRACEPARENT: traceparent}),
            SpanKind.SERVER,
        )
        started = self._clock.monotonic()

        def record(end: RequestEnd) -> None:
            seconds = self._clock.monotonic() - started
            self.metrics.count_request(service, end.outcome, seconds)
            _end_caller_span(span, request_id, end)
            _log_end(request_id, end)

        return _CallerTrace(_traceparent_of(span), record)

    def count_early_refusal(self, reason: str) -> None:
        """Count a request that was refused because of its headers."""
        self.metrics.count_early_refusal(reason)

    def observe_send(
        self,
        effect: SendToTarget,
        report: OutcomeCallback,
    ) -> ObservedSend:
        """Count a target request and record its span if its trace is sampled.

        Parameters
        ----------
        effect : SendToTarget
            The target request.
        report : OutcomeCallback
            Receives the outcome after it is recorded.

        Notes
        -----
        If the trace is not sampled, the trace context of the caller's request
        is passed on unchanged. Creating a span that is not recorded would
        cost more time than routing the request.
        """
        span = None
        if effect.traceparent.endswith(_SAMPLED_SUFFIXES):
            span = self._start_target_span(effect)
            effect = replace(effect, traceparent=_traceparent_of(span))
        started = self._clock.monotonic()

        def record(outcome: TargetAnswered | TargetFailed) -> None:
            seconds = self._clock.monotonic() - started
            name = _outcome_name(outcome)
            self.metrics.count_target_request(name, seconds)
            if span is not None:
                span.set_attribute('outcome', name)
                span.end()
            report(outcome)

        return ObservedSend(effect, record)

    @contextmanager
    def platform_call(self, operation: str) -> Iterator[str]:
        """Record a span for a platform call; yield the ``traceparent`` to send.

        Parameters
        ----------
        operation : str
            Method and kind of object, such as ``get config``, without any
            key.
        """
        with self._tracer.start_as_current_span(
            f'platform {operation}',
            kind=SpanKind.CLIENT,
        ) as span:
            yield _traceparent_of(span)

    def _start_target_span(self, effect: SendToTarget) -> Span:
        return self._tracer.start_span(
            'target request',
            _PROPAGATOR.extract({_TRACEPARENT: effect.traceparent}),
            SpanKind.CLIENT,
            {'target': effect.target, 'shard': effect.shard},
        )


@dataclass(frozen=True, slots=True)
class _CallerTrace:
    traceparent: str
    end: Callable[[RequestEnd], None]


def _end_caller_span(span: Span, request_id: str, end: RequestEnd) -> None:
    if span.is_recording():
        span.set_attribute('request_id', request_id)
        span.set_attribute('http.response.status_code', end.status)
        span.set_attribute('outcome', end.outcome)
        span.set_attribute('verdict', end.verdict)
    span.end()


def _log_end(request_id: str, end: RequestEnd) -> None:
    # There are thousands of answers and of refusals with the verdict not_run
    # per second. The other ends are rare and need the attention of operators.
    is_frequent = end.verdict in _FREQUENT_VERDICTS
    level = logging.DEBUG if is_frequent else logging.INFO
    if _LOG.isEnabledFor(level):
        fields = {'request_id': request_id, **asdict(end)}
        _LOG.log(level, 'request ended', extra=fields)


def _outcome_name(outcome: TargetAnswered | TargetFailed) -> str:
    if isinstance(outcome, TargetAnswered):
        return 'answered'
    return outcome.kind.value


def _traceparent_of(span: Span) -> str:
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, set_span_in_context(span))
    return carrier.get(_TRACEPARENT, '')
