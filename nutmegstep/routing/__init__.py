"""Selection of the replica that a request is sent to."""

from nutmegstep.routing.core import (
    PROBE_SHARE,
    choose_replica,
    is_slow,
    usable_replicas,
)
from nutmegstep.routing.statistics import TargetStats, TargetTable

__all__ = [
    'PROBE_SHARE',
    'TargetStats',
    'TargetTable',
    'choose_replica',
    'is_slow',
    'usable_replicas',
]
