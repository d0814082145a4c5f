"""Prometheus metrics with a limited set of label values."""

from collections.abc import Callable, Container
from functools import lru_cache

from prometheus_client import CollectorRegistry, Counter, Histogram

__all__ = ['Metrics']

_OTHER = 'other'
_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)  # seconds


class Metrics:
    """Counters and histograms of one process.

    Parameters
    ----------
    known_services : Callable
        Returns the names of the declared services. Requests with any other
        name are counted as ``other``, so that callers cannot create an
        unlimited number of time series.
    """

    def __init__(self, known_services: Callable[[], Container[str]]) -> None:
        self.registry = CollectorRegistry()
        self._known_services = known_services
        self._requests = Counter(
            'nutmegstep_requests',
            'Requests of callers by service and outcome',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self._seconds = Histogram(
            'nutmegstep_request_seconds',
            'Time from the whole request to the reply',
            ('service',),
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self._early = Counter(
            'nutmegstep_early_refusals',
            'Requests refused while they were read, without a decision',
            ('reason',),
            registry=self.registry,
        )
        self._target_requests = Counter(
            'nutmegstep_target_requests',
            'Target requests by outcome',
            ('outcome',),
            registry=self.registry,
        )
        self._target_seconds = Histogram(
            'nutmegstep_target_request_seconds',
            'Time from the decision to send to the outcome',
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self._target_by_outcome = lru_cache(maxsize=None)(
            self._target_requests.labels,
        )
        self._early_by_reason = lru_cache(maxsize=None)(self._early.labels)

    def count_request(
        self,
        service: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Count a request of a caller and record its duration.

        Parameters
        ----------
        service : str
            Name of the service in the request; may be unknown.
        outcome : str
            Outcome, as in `RequestEnd`.
        seconds : float
            Time from the arrival of the whole request to the reply.
        """
        label = service if service in self._known_services() else _OTHER
        self._requests.labels(label, outcome).inc()
        self._seconds.labels(label).observe(seconds)

    def count_early_refusal(self, reason: str) -> None:
        """Count a request that was refused because of its headers.

        Parameters
        ----------
        reason : str
            Wire name of the reason of the refusal.
        """
        self._early_by_reason(reason).inc()

    def count_target_request(self, outcome: str, seconds: float) -> None:
        """Count a target request and record its duration.

        Parameters
        ----------
        outcome : str
            ``answered`` or the wire name of a failure.
        seconds : float
            Time from the decision to send to the outcome.
        """
        self._target_by_outcome(outcome).inc()
        self._target_seconds.observe(seconds)
