"""Trace spans: one for each caller's request and one for each send."""

from opentelemetry.trace import Span, SpanKind, Tracer, set_span_in_context

from nutmegstep.dispatch.effects import DeliverRefusal, SendRequest
from nutmegstep.dispatch.events import RoutedRequest, SendFailed, TargetReplied
from nutmegstep.gateway.codec import Delivery

__all__ = ['Tracing']


class Tracing:
    """Records the spans of sampled requests.

    Parameters
    ----------
    tracer : opentelemetry.trace.Tracer
        Creates the spans and decides which requests are sampled.
    """

    def __init__(self, tracer: Tracer) -> None:
        self._tracer = tracer
        self._span_by_request: dict[int, Span] = {}
        self._span_by_send: dict[int, Span] = {}

    def start_request(self, request: RoutedRequest) -> None:
        """Start the span of a caller's request."""
        span = self._tracer.start_span('request', kind=SpanKind.SERVER)
        if span.is_recording():
            span.set_attribute('request_id', request.attempt_id)
            span.set_attribute('url.path', request.path)
            self._span_by_request[request.request_id] = span

    def start_send(self, effect: SendRequest) -> None:
        """Start the span of a request to a target."""
        parent = self._span_by_request.get(effect.request.request_id)
        if parent is None:
            return
        self._span_by_send[effect.send_id] = self._tracer.start_span(
            'target request',
            set_span_in_context(parent),
            SpanKind.CLIENT,
            {
                'target': effect.target.target_id,
                'service': effect.target.service,
            },
        )

    def end_send(self, event: SendFailed | TargetReplied) -> None:
        """End the span of a request to a target with its outcome."""
        span = self._span_by_send.pop(event.send_id, None)
        if span is None:
            return
        if isinstance(event, SendFailed):
            span.set_attribute('outcome', event.kind.value)
        else:
            span.set_attribute('http.response.status_code', event.reply.status)
        span.end()

    def end_request(self, request_id: int, delivery: Delivery | None) -> None:
        """End the span of a caller's request.

        `delivery` is None when the caller disconnected before its answer.
        """
        span = self._span_by_request.pop(request_id, None)
        if span is None:
            return
        if isinstance(delivery, DeliverRefusal):
            span.set_attribute('refusal', delivery.refusal.reason.value)
        span.set_attribute('answered', delivery is not None)
        span.end()
