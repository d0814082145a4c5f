"""Client of the platform's HTTP API for stored objects and VMs."""

from nutmegstep.platform_api.core import (
    CALL_TIMEOUT,
    IDLE_TIMEOUT,
    WATCH_POLL,
    ObjectClient,
)
from nutmegstep.platform_api.records import (
    CallKind,
    ChangedObject,
    PlatformFailure,
    PlatformFailureKind,
    StoredObject,
    VmRecord,
    WatchReply,
)

__all__ = [
    'CALL_TIMEOUT',
    'IDLE_TIMEOUT',
    'WATCH_POLL',
    'CallKind',
    'ChangedObject',
    'ObjectClient',
    'PlatformFailure',
    'PlatformFailureKind',
    'StoredObject',
    'VmRecord',
    'WatchReply',
]
