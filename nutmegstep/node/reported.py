"""Configurations that other VMs and the platform report.

Two configurations with one generation and different digests are in conflict:
neither replaces the other, so VMs keep different ones in force until one with a
higher generation is published.
"""

import logging
from typing import Final

from nutmegstep.node.state import NodeState, ReportedConfiguration

__all__ = ['PLATFORM_SOURCE', 'conflicts', 'record_configuration']

PLATFORM_SOURCE: Final = 'the platform'
_log = logging.getLogger(__name__)


def record_configuration(
    state: NodeState,
    source: str,
    reported: ReportedConfiguration,
) -> None:
    """Record the configuration of a VM or of the platform.

    A conflict is logged as an error when a source first reports it.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    source : str
        Name of the VM, or `PLATFORM_SOURCE`.
    reported : ReportedConfiguration
        Configuration that is in force on the VM or stored on the platform.

    Notes
    -----
    A configuration is stored per source only if it conflicts. Otherwise the
    names of replaced VMs would accumulate.
    """
    state.highest_generation = max(
        state.highest_generation, reported.generation
    )
    if source == PLATFORM_SOURCE:
        state.platform_generation = reported.generation
    known = state.conflicts_by_source.pop(source, None)
    if not _differs(state, reported):
        return
    state.conflicts_by_source[source] = reported
    if known != reported:
        _log.error(
            'configuration conflict: %s has generation %d with digest %s, '
            'in force is digest %s',
            source,
            reported.generation,
            reported.digest,
            state.control.configuration.digest,
        )


def conflicts(state: NodeState) -> dict[str, ReportedConfiguration]:
    """Return the configurations in conflict with the one in force, by source."""
    return {
        source: reported
        for source, reported in sorted(state.conflicts_by_source.items())
        if _differs(state, reported)
    }


def _differs(state: NodeState, reported: ReportedConfiguration) -> bool:
    in_force = state.control.configuration
    if reported.generation == 0 or reported.generation != in_force.generation:
        return False
    return reported.digest != in_force.digest
