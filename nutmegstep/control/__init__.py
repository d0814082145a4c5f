"""Control state that entry processes agree on, and its merge."""

from nutmegstep.control.core import (
    NO_CONFIGURATION,
    Catalogue,
    Configuration,
    ControlState,
    Register,
    merge,
    merge_registers,
    set_register,
)
from nutmegstep.control.changes import changed_events
from nutmegstep.control.digests import catalogues_digest, registers_digest

__all__ = [
    'NO_CONFIGURATION',
    'Catalogue',
    'Configuration',
    'ControlState',
    'Register',
    'catalogues_digest',
    'changed_events',
    'merge',
    'merge_registers',
    'registers_digest',
    'set_register',
]
