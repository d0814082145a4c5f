"""Prometheus counters, gauges and histograms of a gateway."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from nutmegstep.dispatch.effects import (
    Decision,
    DeliverMerged,
    DeliverRefusal,
)
from nutmegstep.dispatch.events import SendFailed, TargetReplied
from nutmegstep.gateway.codec import Delivery

__all__ = ['GatewayMetrics']

_LATENCY_BUCKETS_S: Final = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.15,
    0.25,
    0.5,
    1,
    2,
    5,
    10,
)
"""Upper bounds of histogram buckets, closest together where the routes'
target latencies lie."""


class GatewayMetrics:
    """Metrics of one gateway process.

    Attributes
    ----------
    registry : CollectorRegistry
        Registry of all metrics that are exported.
    store_calls : Counter
        Calls to the platform's store.
    suspect_reports : Counter
        Datagrams with reports about targets.
    vm_messages : Counter
        Messages between VMs.
    omitted_log_lines : Gauge
        Decisions without a log line; set before each export.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            'nutmegstep_requests_total',
            'Answered requests by outcome.',
            ('outcome',),
            registry=self.registry,
        )
        self._request_seconds = Histogram(
            'nutmegstep_request_seconds',
            'Time from the end of a request to its answer.',
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._sends = Counter(
            'nutmegstep_target_requests_total',
            'Requests to targets by outcome.',
            ('outcome',),
            registry=self.registry,
        )
        self._send_counter_by_outcome: dict[str, Counter] = {}
        self._decisions = Counter(
            'nutmegstep_decisions_total',
            'Decisions by name.',
            ('decision',),
            registry=self.registry,
        )
        self.store_calls = Counter(
            'nutmegstep_store_calls_total',
            'Calls to the platform store by operation and outcome.',
            ('operation', 'outcome'),
            registry=self.registry,
        )
        self.suspect_reports = Counter(
            'nutmegstep_target_reports_total',
            'Datagrams with reports about targets by outcome.',
            ('outcome',),
            registry=self.registry,
        )
        self.vm_messages = Counter(
            'nutmegstep_vm_messages_total',
            'Messages between VMs by kind and outcome.',
            ('kind', 'outcome'),
            registry=self.registry,
        )
        self.omitted_log_lines = Gauge(
            'nutmegstep_omitted_log_lines',
            'Decisions without a log line since the start.',
            registry=self.registry,
        )

    def count_request(self, delivery: Delivery, seconds: float) -> None:
        """Count an answered request and record its latency in seconds."""
        self._requests.labels(_outcome_of(delivery)).inc()
        self._request_seconds.observe(seconds)

    def count_send(self, event: SendFailed | TargetReplied) -> None:
        """Count the outcome of a request to a target."""
        if isinstance(event, SendFailed):
            outcome = event.kind.value
        elif event.reply.is_success:
            outcome = 'answered'
        else:
            outcome = 'rejected'
        counter = self._send_counter_by_outcome.get(outcome)
        if counter is None:
            counter = self._sends.labels(outcome)
            self._send_counter_by_outcome[outcome] = counter
        counter.inc()

    def count_decision(self, decision: Decision) -> None:
        """Count a decision of the dispatcher by its name."""
        self._decisions.labels(decision.name).inc()


def _outcome_of(delivery: Delivery) -> str:
    if isinstance(delivery, DeliverRefusal):
        return delivery.refusal.reason.value
    if isinstance(delivery, DeliverMerged):
        return 'partial' if delivery.missing else 'complete'
    return 'passed_on'
