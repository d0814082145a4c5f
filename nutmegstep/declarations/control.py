"""Encodes and merges the object `control/state`.

It holds the withdrawals of failure domains and the drains of targets. Copies
that were changed independently, at the platform and on VMs, are merged name
by name: the register with the higher counter wins.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import ClassVar

from pydantic import ConfigDict, TypeAdapter

__all__ = [
    'ControlChange',
    'ControlDocument',
    'ControlSubject',
    'Register',
    'apply_change',
    'decode_control',
    'encode_control',
    'merge_control',
    'merge_registers',
]


@enum.unique
class ControlSubject(enum.Enum):
    """Kind of what an operator takes out of service."""

    FAILURE_DOMAIN = 'failure_domain'
    TARGET = 'target'


@dataclass(frozen=True, slots=True)
class Register:
    """State of one failure domain or target.

    Of two registers for one name, a merge keeps the one with the higher
    counter.

    Parameters
    ----------
    counter : int
        Number of changes so far.
    withdrawn : bool
        Whether the failure domain or target is out of service. At equal
        counters, a register that is withdrawn wins.
    changed_by : str
        Operator of the latest change. If all else is equal, the name that
        sorts last wins, so that all processes arrive at the same register.
    """

    counter: int
    withdrawn: bool
    changed_by: str = ''


@dataclass(frozen=True, slots=True)
class ControlDocument:
    """Registers of all failure domains and targets.

    A failure domain or target without a register is in service.

    Notes
    -----
    Unknown fields are an error. A document of another format would otherwise
    be read as an empty one, which would end all withdrawals and drains.
    """

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra='forbid')

    failure_domains_by_name: Mapping[str, Register] = field(
        default_factory=dict,
    )
    targets_by_name: Mapping[str, Register] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ControlChange:
    """A change that an operator requests."""

    subject: ControlSubject
    name: str
    withdrawn: bool
    changed_by: str


_control_adapter = TypeAdapter(ControlDocument)


def encode_control(document: ControlDocument) -> bytes:
    """Return the JSON form of a control document."""
    return _control_adapter.dump_json(document)


def decode_control(value: bytes) -> ControlDocument:
    """Return the control document of its JSON form.

    Raises
    ------
    pydantic.ValidationError
        The document does not match the model.
    """
    return _control_adapter.validate_json(value)


def apply_change(
    document: ControlDocument,
    change: ControlChange,
) -> ControlDocument:
    """Return the document after a change.

    The same document is returned if the change is already in force.

    Examples
    --------
    >>> change = ControlChange(ControlSubject.TARGET, 'a', True, 'ilze')
    >>> drained = apply_change(ControlDocument(), change)
    >>> drained.targets_by_name['a'].counter
    1
    >>> apply_change(drained, change) is drained
    True
    """
    is_target = change.subject is ControlSubject.TARGET
    registers = (
        document.targets_by_name
        if is_target
        else document.failure_domains_by_name
    )
    current = registers.get(change.name, Register(0, withdrawn=False))
    if current.withdrawn == change.withdrawn:
        return document
    register = Register(
        current.counter + 1,
        change.withdrawn,
        change.changed_by,
    )
    changed = {**registers, change.name: register}
    if is_target:
        return ControlDocument(document.failure_domains_by_name, changed)
    return ControlDocument(changed, document.targets_by_name)


def merge_control(
    first: ControlDocument,
    second: ControlDocument,
) -> ControlDocument:
    """Merge two documents; for each name the higher counter wins.

    Examples
    --------
    >>> older = ControlDocument({}, {'a': Register(1, False)})
    >>> newer = ControlDocument({}, {'a': Register(1, True)})
    >>> merge_control(newer, older).targets_by_name['a'].withdrawn
    True
    """
    return ControlDocument(
        merge_registers(
            first.failure_domains_by_name,
            second.failure_domains_by_name,
        ),
        merge_registers(first.targets_by_name, second.targets_by_name),
    )


def merge_registers(
    first: Mapping[str, Register],
    second: Mapping[str, Register],
) -> dict[str, Register]:
    """Merge two sets of registers by name; the higher counter wins.

    Examples
    --------
    >>> withdrawn, restored = Register(2, True), Register(2, False)
    >>> merge_registers({'d1': restored}, {'d1': withdrawn})['d1'].withdrawn
    True
    """
    never = Register(0, withdrawn=False)
    return {
        name: max(
            first.get(name, never),
            second.get(name, never),
            key=_merge_key,
        )
        for name in sorted({*first, *second})
    }


def _merge_key(register: Register) -> tuple[int, bool, str]:
    return register.counter, register.withdrawn, register.changed_by
