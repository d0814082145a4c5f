"""Stand-ins for the platform and for targets, for tests and demonstrations.

A stand-in serves the same HTTP interface as the real system and can be told
to fail in chosen ways.
"""

from nutmegstep.standins.control import ServedTarget, control_handler
from nutmegstep.standins.faults import TargetFaults
from nutmegstep.standins.platform import PlatformStandIn
from nutmegstep.standins.target import (
    TargetRequest,
    TargetSettings,
    TargetStandIn,
)
from nutmegstep.standins.target_server import serve_target

__all__ = [
    'PlatformStandIn',
    'ServedTarget',
    'TargetFaults',
    'TargetRequest',
    'TargetSettings',
    'TargetStandIn',
    'control_handler',
    'serve_target',
]
