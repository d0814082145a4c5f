"""Published form of withdrawals and drains, the object `control/state`."""

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
    """What operators take out of service."""

    FAILURE_DOMAIN = 'failure_domain'
    TARGET = 'target'


@dataclass(frozen=True, slots=True)
class Register:
    """State of one name; a merge takes the higher counter.

    Parameters
    ----------
    counter : int
        Grows with every change.
    withdrawn : bool
        Whether the name is out of service; wins at equal counters.
    changed_by : str
        Operator of the latest change; the higher name wins when all else is
        equal, so that every process ends with the same register.
    """

    counter: int
    withdrawn: bool
    changed_by: str = ''


@dataclass(frozen=True, slots=True)
class ControlDocument:
    """All registers; a name that is absent is in service.

    Notes
    -----
    Unknown fields are an error. A document of another format would otherwise
    be read as an empty one, and withdrawals would end.
    """

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra='forbid')

    failure_domains_by_name: Mapping[str, Register] = field(
        default_factory=dict,
    )
    targets_by_name: Mapping[str, Register] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ControlChange:
    """A change that an operator asks for."""

    subject: ControlSubject
    name: str
    withdrawn: bool
    changed_by: str


_control_adapter = TypeAdapter(ControlDocument)


def encode_control(document: ControlDocument) -> bytes:
    """Return the JSON form."""
    return _control_adapter.dump_json(document)


def decode_control(value: bytes) -> ControlDocument:
    """Return the registers of a JSON document.

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
    """Return the registers after a change; the same when it is in force.

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
    """Return for each name the register with the higher counter.

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
    """Return the register with the higher counter for each name.

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
