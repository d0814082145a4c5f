"""Concurrency limits and bounded queues of queries."""

from nutmegstep.admission.core import Admission, Decision

__all__ = ['Admission', 'Decision']
