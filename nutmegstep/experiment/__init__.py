"""Simulation of VMs, targets and callers that runs the real dispatcher."""

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
