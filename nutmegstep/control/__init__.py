"""Control state that entry processes agree on, and its merge."""

from nutmegstep.control.changes import changed_events
from nutmegstep.control.core import (
    NO_CONFIGURATION,
    Catalogue,
    Configuration,
    ControlState,
    control_document,
    merge,
    state_of_control,
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
    'state_of_control',
]
