"""Small stand-ins for the platform and for targets."""

from nutmegstep.standins.platform import PlatformStandIn
from nutmegstep.standins.target import TargetStandIn

__all__ = ['PlatformStandIn', 'TargetStandIn']
