"""Formats phases as rows of a table and as JSON objects."""

from typing import Any, Final

from nutmegstep.measure.bench import Phase

__all__ = ['HEADING', 'format_phase', 'phase_record']

HEADING: Final = (
    'deployment phase          side         p50     p99   p99.9  good/s   '
    'whole untrue   extra  us/req q/s/core   gen'
)


def format_phase(deployment: str, phase: Phase) -> str:
    """Return a row of the table with latencies in ms and shares in percent."""
    load = phase.load
    return (
        f'{deployment:<10} {phase.name:<14} {phase.side:<8} '
        f'{load.quantile_ms(50):>7.1f} {load.quantile_ms(99):>7.1f} '
        f'{load.quantile_ms(99.9):>7.1f} {load.goodput:>7.1f} '
        f'{load.whole_share:>7.2%} {load.incorrect_by_fault.total():>6} '
        f'{phase.extra_requests:>7.2%} {phase.microseconds:>7.0f} '
        f'{phase.queries_per_core:>8.1f} {_generator_share(phase):>5.0%}'
    )


def phase_record(deployment: str, phase: Phase) -> dict[str, Any]:
    """Return the figures of a phase as a JSON object."""
    load = phase.load
    return {
        'deployment': deployment,
        'phase': phase.name,
        'side': phase.side,
        'p50_ms': load.quantile_ms(50),
        'p99_ms': load.quantile_ms(99),
        'p999_ms': load.quantile_ms(99.9),
        'goodput': load.goodput,
        'whole': load.whole,
        'partial': load.partial,
        'refused': dict(load.refused_by_reason),
        'untrue': dict(load.incorrect_by_fault),
        'given_up': load.given_up,
        'cut_off': load.cut_off,
        'extra_requests': phase.extra_requests,
        'target_requests': phase.target_requests,
        'sheds': phase.sheds,
        'us_per_target_request': phase.microseconds,
        'queries_per_core': phase.queries_per_core,
        'generator_share': _generator_share(phase),
    }


def _generator_share(phase: Phase) -> float:
    return phase.generator_seconds / max(phase.load.seconds, 1)
