"""Declaration files, and the objects that commands store at the platform."""

from nutmegstep.declarations.collect import (
    FILE_PATTERN,
    collect_declarations,
    find_files,
)
from nutmegstep.declarations.control import (
    ControlChange,
    ControlDocument,
    ControlSubject,
    Register,
    apply_change,
    decode_control,
    encode_control,
    merge_control,
    merge_registers,
)
from nutmegstep.declarations.core import (
    decode_catalogue,
    decode_fleet,
    encode_catalogue,
    encode_fleet,
)
from nutmegstep.declarations.diff import (
    Change,
    ChangeKind,
    FieldChange,
    diff_fleets,
)
from nutmegstep.declarations.problems import Problem
from nutmegstep.declarations.published import (
    PublishedConfiguration,
    decode_published,
    encode_published,
    fleet_digest,
)

__all__ = [
    'FILE_PATTERN',
    'Change',
    'ChangeKind',
    'ControlChange',
    'ControlDocument',
    'ControlSubject',
    'FieldChange',
    'Problem',
    'PublishedConfiguration',
    'Register',
    'apply_change',
    'collect_declarations',
    'decode_catalogue',
    'decode_control',
    'decode_fleet',
    'decode_published',
    'diff_fleets',
    'encode_catalogue',
    'encode_control',
    'encode_fleet',
    'encode_published',
    'find_files',
    'fleet_digest',
    'merge_control',
    'merge_registers',
]
