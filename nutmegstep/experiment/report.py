"""Results of an experiment."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ['ClassResult', 'Report']


@dataclass(slots=True)
class ClassResult:
    """Results of one kind of request.

    Attributes
    ----------
    asked, in_time, late, refused : int
        Requests by what became of them.
    partial : int
        Answers that left shards out.
    credit, owed : float
        Credit earned and possible.
    latencies : list of float
        Seconds until the answer, as callers see it.
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
        """Return a quantile of the latencies in seconds."""
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
        Decisions over all VMs.
    sends : int
        Requests that targets received.
    requests_by_service : Mapping
        Requests for each service, before repeats and hedges.
    arrivals_by_service : Mapping
        Requests that the targets of each service received.
    """

    results_by_class: Mapping[str, ClassResult]
    decisions: Counter[str]
    requests_by_service: Mapping[str, int]
    arrivals_by_service: Mapping[str, int]

    @property
    def credit(self) -> float:
        """Credit earned as a share of the credit possible."""
        owed = sum(one.owed for one in self.results_by_class.values())
        earned = sum(one.credit for one in self.results_by_class.values())
        return earned / owed if owed else 0

    @property
    def extra_share(self) -> float:
        """Extra sends as a share of the requests for the services."""
        requests = sum(self.requests_by_service.values())
        arrivals = sum(self.arrivals_by_service.values())
        return arrivals / requests - 1 if requests else 0

    def lines(self) -> tuple[str, ...]:
        """Return a table for a person."""
        head = 'class                asked in time late refused partial'
        rows = [
            f'{name:20s} {one.asked:5d} {one.in_time:7d} {one.late:4d} '
            f'{one.refused:7d} {one.partial:7d} '
            f'credit {one.credit / max(one.owed, 1e-9):.3f} '
            f'p50 {one.quantile(0.5) * 1000:.1f} ms '
            f'p99 {one.quantile(0.99) * 1000:.1f} ms'
            for name, one in self.results_by_class.items()
        ]
        tail = f'credit {self.credit:.4f}, extra {self.extra_share:.3f}'
        counts = ', '.join(
            f'{name} {count}' for name, count in sorted(self.decisions.items())
        )
        return (head, *rows, tail, counts)
