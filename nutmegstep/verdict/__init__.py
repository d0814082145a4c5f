"""Refusals and their verdicts: whether a refused request may have run."""

from nutmegstep.verdict.core import (
    Reason,
    Refusal,
    Verdict,
    http_status,
    refusal_status,
    refuse,
)

__all__ = [
    'Reason',
    'Refusal',
    'Verdict',
    'http_status',
    'refusal_status',
    'refuse',
]
