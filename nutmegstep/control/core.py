"""Control state and its merge."""

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
    'state_from_document',
]

_Part = TypeVar('_Part')


@dataclass(frozen=True, slots=True)
class Configuration:
    """A published configuration.

    Parameters
    ----------
    generation : int
        Number that increases with each publication; 0 means that no
        configuration has been published.
    digest : str
        Hexadecimal digest of the document, empty for no configuration.
    document : bytes
        JSON document as published.
    """

    generation: int
    digest: str
    document: bytes


NO_CONFIGURATION: Final = Configuration(0, '', b'')


@dataclass(frozen=True, slots=True)
class Catalogue:
    """Catalogue of the versions of one index, as stored on the platform.

    Parameters
    ----------
    version : int
        Number of the last write of the platform object.
    document : bytes
        JSON document as published.
    """

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class ControlState:
    """State that all entry VMs share; never changed in place.

    Parameters
    ----------
    configuration : Configuration
        Configuration with the highest known generation.
    withdrawals_by_domain : Mapping
        Register of each failure domain that was ever withdrawn.
    drains_by_target : Mapping
        Register of each target that was ever drained.
    catalogues_by_index : Mapping
        Newest known catalogue of each index.
    """

    configuration: Configuration = NO_CONFIGURATION
    withdrawals_by_domain: Mapping[str, Register] = field(default_factory=dict)
    drains_by_target: Mapping[str, Register] = field(default_factory=dict)
    catalogues_by_index: Mapping[str, Catalogue] = field(default_factory=dict)


def merge(ours: ControlState, theirs: ControlState) -> ControlState:
    """Return the merge of two control states: the newer one of each part.

    Parameters
    ----------
    ours : ControlState
        Control state of this VM.
    theirs : ControlState
        Control state of another VM or of the platform.

    Notes
    -----
    Two different configurations with the same generation can only arise from
    a publication after the platform has lost writes. A configuration is only
    replaced by one with a higher generation, so each VM keeps its own one. The
    next publication has a higher generation and ends the conflict.

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
        _merge_by_key(
            ours.catalogues_by_index,
            theirs.catalogues_by_index,
            _newer_catalogue,
        ),
    )


def control_document(state: ControlState) -> ControlDocument:
    """Return the withdrawals and drains as in the object `control/state`."""
    return ControlDocument(state.withdrawals_by_domain, state.drains_by_target)


def state_from_document(document: ControlDocument) -> ControlState:
    """Return a control state with only the withdrawals and drains given.

    Examples
    --------
    >>> document = ControlDocument({'d1': Register(1, True, 'ilze')})
    >>> control_document(state_from_document(document)) == document
    True
    """
    return ControlState(
        withdrawals_by_domain=document.failure_domains_by_name,
        drains_by_target=document.targets_by_name,
    )


def _merge_by_key(
    ours: Mapping[str, _Part],
    theirs: Mapping[str, _Part],
    newer: Callable[[_Part, _Part], _Part],
) -> dict[str, _Part]:
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
