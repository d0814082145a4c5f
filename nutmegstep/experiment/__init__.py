"""Model of VMs, targets and callers that plays the dispatcher's decisions."""

from nutmegstep.experiment.core import run_experiment
from nutmegstep.experiment.fleet import (
    FleetModel,
    InjectedFault,
    QueryClass,
    ShardGroup,
)
from nutmegstep.experiment.report import ClassResult, Report

__all__ = [
    'ClassResult',
    'FleetModel',
    'InjectedFault',
    'QueryClass',
    'Report',
    'ShardGroup',
    'run_experiment',
]
