"""Results of an experiment."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ['ClassResult', 'Report']


@dataclass(slots=True)
class ClassResult:
    """Results of result kind of request.

    Attributes
    ----------
    asked, in_time, late, refused : int
        Number of all requests, and of those answered within the target
        latency, answered later and refused.
    partial : int
        Number of answers that do not cover all shards.
    credit, owed : float
        Credit that was earned, and credit that full answers to all requests
        within the target latency would have earned.
    latencies : list of float
        Latency of each answer in seconds, including the way to the caller and
        back.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    partial: int = 0
    credit: float = 0
    owed: float = 0
    latencies: list[float] = field(default_factory=list)

    def quantile(self, probability: float) -> float:
        """Return a quantile of the latencies in seconds; NaN if there are none."""
        ordered = sorted(self.latencies)
        if not ordered:
            return float('nan')
        return ordered[int(probability * (len(ordered) - 1))]


@dataclass(frozen=True, slots=True)
class Report:
    """Results of an experiment.

    Parameters
    ----------
    results_by_class : Mapping
        Results by kind of request.
    decisions : Counter
        Number of decisions of each kind that all VMs took.
    requests_by_service : Mapping
        Number of requests for each service, without repeats and hedges.
    arrivals_by_service : Mapping
        Number of requests that the targets of each service received.
    """

    results_by_class: Mapping[str, ClassResult]
    decisions: Counter[str]
    requests_by_service: Mapping[str, int]
    arrivals_by_service: Mapping[str, int]

    @property
    def credit(self) -> float:
        """Credit earned, as a share of the credit that was possible."""
        owed = sum(result.owed for result in self.results_by_class.values())
        earned = sum(result.credit for result in self.results_by_class.values())
        return earned / owed if owed else 0

    @property
    def extra_share(self) -> float:
        """Repeats and hedges, as a share of the requests for the services."""
        requests = sum(self.requests_by_service.values())
        arrivals = sum(self.arrivals_by_service.values())
        return arrivals / requests - 1 if requests else 0

    def lines(self) -> tuple[str, ...]:
        """Return the lines of a table for the terminal."""
        head = 'class                asked in time late refused partial'
        rows = [
            f'{name:20s} {result.asked:5d} {result.in_time:7d} {result.late:4d} '
            f'{result.refused:7d} {result.partial:7d} '
            f'credit {result.credit / max(result.owed, 1e-9):.3f} '
            f'p50 {result.quantile(0.5) * 1000:.1f} ms '
            f'p99 {result.quantile(0.99) * 1000:.1f} ms'
            for name, result in self.results_by_class.items()
        ]
        tail = f'credit {self.credit:.4f}, extra {self.extra_share:.3f}'
        counts = ', '.join(
            f'{name} {count}' for name, count in sorted(self.decisions.items())
        )
        return (head, *rows, tail, counts)
