"""Control plane of an entry process.

Keeps the configuration, withdrawals, drains, index catalogues, membership and
leases up to date by exchanges with the platform and with the other entry VMs,
and reports the changes to the engine as events.
"""

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
