"""Roll-outs of a new version of a service: evidence and decisions."""

from nutmegstep.rollouts.core import (
    ExposureLimits,
    Outcome,
    Phase,
    RolloutOrder,
    RolloutReport,
    ReportRow,
)
from nutmegstep.rollouts.decision import RollCall, next_phase
from nutmegstep.rollouts.evidence import Evidence, Verdict

__all__ = [
    'Evidence',
    'ExposureLimits',
    'Outcome',
    'Phase',
    'ReportRow',
    'RollCall',
    'RolloutOrder',
    'RolloutReport',
    'Verdict',
    'next_phase',
]
