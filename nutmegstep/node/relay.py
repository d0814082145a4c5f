"""Calls of a relay to the platform."""

import logging
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.control import ControlState, merge, registers_digest
from nutmegstep.membership import record_list
from nutmegstep.node.documents import (
    CONFIG_NAME,
    CONTROL_NAME,
    decode_object,
    encode_registers,
    object_names,
)
from nutmegstep.node.heard import PLATFORM_SOURCE, hear_configuration
from nutmegstep.node.ports import ControlPlatform, StoredObject
from nutmegstep.node.state import HeardConfiguration, NodeState, adopt

__all__ = ['load_all', 'merge_object', 'read_list', 'watch_once', 'write_back']

_WATCH_SECONDS: Final = 30
_log = logging.getLogger(__name__)


async def load_all(state: NodeState, platform: ControlPlatform) -> None:
    """Read every object that the process follows."""
    await _load(state, platform, CONFIG_NAME)
    for name in object_names(state.fleet)[1:]:
        await _load(state, platform, name)


async def watch_once(
    state: NodeState,
    platform: ControlPlatform,
    since: int,
) -> tuple[int, bool]:
    """Wait for changes; return the next `since` and whether any came."""
    names = object_names(state.fleet)
    reply = await platform.watch(names, since, _WATCH_SECONDS)
    changes = [merge_object(state, stored) for stored in reply.changed]
    if names != object_names(state.fleet):
        await load_all(state, platform)
    return reply.since, any(changes)


async def read_list(
    state: NodeState,
    platform: ControlPlatform,
    clock: Clock,
) -> None:
    """Read the list of VMs, dated with the instant before the call."""
    listed_at = clock.monotonic()
    record_list(state.membership, await platform.list_vms(), listed_at)


async def write_back(state: NodeState, platform: ControlPlatform) -> bool:
    """Write withdrawals and drains that the platform lacks.

    Returns
    -------
    bool
        False when another write came first; the next round merges it.
    """
    if registers_digest(state.control) == state.stored_registers_digest:
        return True
    stored = await platform.get(CONTROL_NAME)
    known = ControlState()
    if stored is not None:
        known = decode_object(stored)
        merge_object(state, stored)
    ours = merge(known, state.control)
    if registers_digest(ours) == registers_digest(known):
        state.stored_registers_digest = registers_digest(known)
        return True
    tag = stored.tag if stored else None
    written = await platform.put(CONTROL_NAME, encode_registers(ours), tag)
    if written:
        state.stored_registers_digest = registers_digest(ours)
    return written


def merge_object(state: NodeState, stored: StoredObject) -> bool:
    """Merge an object; an invalid one is logged and ignored."""
    try:
        part = decode_object(stored)
    except ValueError as error:
        _log.error('object %s is not valid: %s', stored.name, error)
        return False
    if stored.name == CONTROL_NAME:
        state.stored_registers_digest = registers_digest(part)
    if stored.name == CONFIG_NAME:
        _hear_stored(state, part)
    current = state.control.configuration.generation
    try:
        changed = adopt(state, part)
    except ValueError as error:
        _log.error('object %s is not valid: %s', stored.name, error)
        return False
    if state.control.configuration.generation > current:
        state.source = 'platform'
    return changed


def _hear_stored(state: NodeState, part: ControlState) -> None:
    stored = part.configuration
    current = state.control.configuration.generation
    if stored.generation < current:
        _log.warning(
            'platform has generation %d, older than %d in force',
            stored.generation,
            current,
        )
    heard = HeardConfiguration(stored.generation, stored.digest)
    hear_configuration(state, PLATFORM_SOURCE, heard)


async def _load(
    state: NodeState,
    platform: ControlPlatform,
    name: str,
) -> None:
    stored = await platform.get(name)
    if stored is not None:
        merge_object(state, stored)
