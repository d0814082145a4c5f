"""State and merge of configuration, withdrawals, drains and catalogues."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeVar

from nutmegstep.declarations import (
    ControlDocument,
    Register,
    merge_registers,
)

__all__ = [
    'NO_CONFIGURATION',
    'Catalogue',
    'Configuration',
    'ControlState',
    'control_document',
    'merge',
    'state_of_control',
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


def control_document(state: ControlState) -> ControlDocument:
    """Return the withdrawals and drains in the form of the platform."""
    return ControlDocument(state.withdrawals_by_domain, state.drains_by_target)


def state_of_control(document: ControlDocument) -> ControlState:
    """Return a state that has only withdrawals and drains.

    Examples
    --------
    >>> document = ControlDocument({'d1': Register(1, True, 'ilze')})
    >>> control_document(state_of_control(document)) == document
    True
    """
    return ControlState(
        withdrawals_by_domain=document.failure_domains_by_name,
        drains_by_target=document.targets_by_name,
    )


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


def _newer_catalogue(ours: Catalogue, theirs: Catalogue) -> Catalogue:
    return theirs if theirs.version > ours.version else ours
