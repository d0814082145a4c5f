"""Composition of the control side of an entry process."""

from nutmegstep.node.core import ControlPlane, NodeCallbacks, NodeSettings
from nutmegstep.node.ports import ControlPlatform, StoredObject, WatchReply

__all__ = [
    'ControlPlane',
    'ControlPlatform',
    'NodeCallbacks',
    'NodeSettings',
    'StoredObject',
    'WatchReply',
]
