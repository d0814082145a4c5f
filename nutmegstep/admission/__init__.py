"""Admission control: concurrency limits and bounded queues of queries."""

from nutmegstep.admission.core import AdmissionController, Decision

__all__ = ['AdmissionController', 'Decision']
