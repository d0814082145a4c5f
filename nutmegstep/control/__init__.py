"""Control state, which all entry VMs share, and its merge.

It consists of the configuration, the withdrawals of failure domains, the
drains of targets and the index catalogues. The merge of states does not depend
on their order, so all VMs end with the same state without a leader; `merge`
describes the exception.
"""

from nutmegstep.control.changes import changed_events
from nutmegstep.control.core import (
    NO_CONFIGURATION,
    Catalogue,
    Configuration,
    ControlState,
    control_document,
    merge,
    state_from_document,
)
from nutmegstep.control.digests import catalogues_digest, registers_digest

__all__ = [
    'NO_CONFIGURATION',
    'Catalogue',
    'Configuration',
    'ControlState',
    'catalogues_digest',
    'changed_events',
    'control_document',
    'merge',
    'registers_digest',
    'state_from_document',
]
