"""Configurations that other processes and the platform report."""

import logging
from typing import Final

from nutmegstep.node.state import HeardConfiguration, NodeState

__all__ = ['PLATFORM_SOURCE', 'conflicts', 'hear_configuration']

PLATFORM_SOURCE: Final = 'the platform'
_log = logging.getLogger(__name__)


def hear_configuration(
    state: NodeState,
    source: str,
    heard: HeardConfiguration,
) -> None:
    """Note the configuration of a VM or of the platform.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    source : str
        Name of the VM, or `PLATFORM_SOURCE`.
    heard : HeardConfiguration
        What the source has in force or stored.

    Notes
    -----
    Only conflicting configurations are kept by source, so that names of
    replaced VMs do not accumulate.
    """
    state.highest_generation = max(state.highest_generation, heard.generation)
    if source == PLATFORM_SOURCE:
        state.platform_generation = heard.generation
    known = state.conflicts_by_source.pop(source, None)
    if not _differs(state, heard):
        return
    state.conflicts_by_source[source] = heard
    if known != heard:
        _log.error(
            'configuration conflict: %s has generation %d with digest %s, '
            'in force is digest %s',
            source,
            heard.generation,
            heard.digest,
            state.control.configuration.digest,
        )


def conflicts(state: NodeState) -> dict[str, HeardConfiguration]:
    """Return the configurations that conflict with the one in force."""
    return {
        source: heard
        for source, heard in sorted(state.conflicts_by_source.items())
        if _differs(state, heard)
    }


def _differs(state: NodeState, heard: HeardConfiguration) -> bool:
    ours = state.control.configuration
    if heard.generation == 0 or heard.generation != ours.generation:
        return False
    return heard.digest != ours.digest
