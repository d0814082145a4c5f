"""State and merge of configuration, withdrawals, drains and catalogues."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeVar

__all__ = [
    'NO_CONFIGURATION',
    'Catalogue',
    'Configuration',
    'ControlState',
    'Register',
    'merge',
    'merge_registers',
    'set_register',
]

_Entry = TypeVar('_Entry')


@dataclass(frozen=True, slots=True)
class Configuration:
    """A published configuration.

    Parameters
    ----------
    generation : int
        Grows with every accepted publication; 0 means none.
    digest : str
        Digest of the document.
    document : bytes
        Published form.
    """

    generation: int
    digest: str
    document: bytes


NO_CONFIGURATION: Final = Configuration(0, '', b'')


@dataclass(frozen=True, slots=True)
class Register:
    """Whether a name is withdrawn or draining.

    Parameters
    ----------
    counter : int
        Grows with every command on the name.
    active : bool
        True means withdrawn or draining.
    """

    counter: int
    active: bool


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Versions of one index as the platform stores them.

    Parameters
    ----------
    version : int
        Object version of the platform.
    document : bytes
        Published form.
    """

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class ControlState:
    """Everything that entry processes agree on; never changed in place."""

    configuration: Configuration = NO_CONFIGURATION
    withdrawals_by_domain: Mapping[str, Register] = field(default_factory=dict)
    drains_by_target: Mapping[str, Register] = field(default_factory=dict)
    catalogues_by_index: Mapping[str, Catalogue] = field(default_factory=dict)


def merge(ours: ControlState, theirs: ControlState) -> ControlState:
    """Return the newest of everything that two processes know.

    Notes
    -----
    Two different configurations with one generation can only come from a
    publication after the platform lost writes. The own one stays, because a
    configuration is replaced only by a higher generation; the next
    publication has a higher generation and ends the conflict.

    Examples
    --------
    >>> older = ControlState(Configuration(3, 'x', b'{}'))
    >>> newer = ControlState(Configuration(4, 'y', b'{}'))
    >>> merge(newer, older).configuration.generation
    4
    """
    return ControlState(
        _newer_configuration(ours.configuration, theirs.configuration),
        merge_registers(
            ours.withdrawals_by_domain,
            theirs.withdrawals_by_domain,
        ),
        merge_registers(ours.drains_by_target, theirs.drains_by_target),
        _merge_entries(
            ours.catalogues_by_index,
            theirs.catalogues_by_index,
            _newer_catalogue,
        ),
    )


def merge_registers(
    ours: Mapping[str, Register],
    theirs: Mapping[str, Register],
) -> dict[str, Register]:
    """Return the register with the higher counter for each name.

    Examples
    --------
    >>> active, restored = Register(2, True), Register(2, False)
    >>> merge_registers({'d1': restored}, {'d1': active})['d1'].active
    True
    """
    return _merge_entries(ours, theirs, _newer_register)


def set_register(
    registers_by_name: Mapping[str, Register],
    name: str,
    *,
    active: bool,
) -> dict[str, Register]:
    """Return the registers with one name set by an operator.

    Notes
    -----
    A command that changes nothing keeps the counter, so that a repeated
    command does not win over a later one of another operator.
    """
    current = registers_by_name.get(name, Register(0, active=False))
    if current.active == active:
        return dict(registers_by_name)
    changed = Register(current.counter + 1, active)
    return {**registers_by_name, name: changed}


def _merge_entries(
    ours: Mapping[str, _Entry],
    theirs: Mapping[str, _Entry],
    newer: Callable[[_Entry, _Entry], _Entry],
) -> dict[str, _Entry]:
    merged = {**theirs, **ours}
    for name in ours.keys() & theirs.keys():
        merged[name] = newer(ours[name], theirs[name])
    return merged


def _newer_configuration(
    ours: Configuration,
    theirs: Configuration,
) -> Configuration:
    return theirs if theirs.generation > ours.generation else ours


def _newer_register(ours: Register, theirs: Register) -> Register:
    if (theirs.counter, theirs.active) > (ours.counter, ours.active):
        return theirs
    return ours


def _newer_catalogue(ours: Catalogue, theirs: Catalogue) -> Catalogue:
    return theirs if theirs.version > ours.version else ours
