"""Calls of a relay to the platform, and the merge of what they return."""

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
from nutmegstep.node.ports import ControlPlatform, StoredObject
from nutmegstep.node.reported import PLATFORM_SOURCE, record_configuration
from nutmegstep.node.state import (
    NodeState,
    ReportedConfiguration,
    merge_control_state,
)

__all__ = ['load_all', 'merge_object', 'read_list', 'watch_once', 'write_back']

_WATCH_SECONDS: Final = 30
_log = logging.getLogger(__name__)


async def load_all(state: NodeState, platform: ControlPlatform) -> None:
    """Read all watched objects from the platform.

    The configuration is read first, as it determines the watched indexes.
    """
    await _load(state, platform, CONFIG_NAME)
    for name in object_names(state.fleet)[1:]:
        await _load(state, platform, name)


async def watch_once(
    state: NodeState,
    platform: ControlPlatform,
    since: int,
) -> tuple[int, bool]:
    """Wait for changes of the watched objects and merge them.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    platform : ControlPlatform
        Client of the object API.
    since : int
        Revision after which changes are reported; 0 reports all objects.

    Returns
    -------
    next_since : int
        Value of `since` for the next call.
    changed : bool
        Whether one of the changed objects changed the control state.
    """
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
    """Read the VM list; its time is that of the request, not of the reply."""
    listed_at = clock.monotonic()
    record_list(state.membership, await platform.list_vms(), listed_at)


async def write_back(state: NodeState, platform: ControlPlatform) -> bool:
    """Write withdrawals and drains that the platform does not have yet.

    Returns
    -------
    bool
        False if another VM wrote the object at the same time. The next call
        merges that write and tries again.
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
    """Merge an object of the platform into the control state.

    An invalid object is logged and ignored.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    stored : StoredObject
        The object.

    Returns
    -------
    bool
        Whether the control state changed.
    """
    try:
        part = decode_object(stored)
    except ValueError as error:
        _log.error('object %s is not valid: %s', stored.name, error)
        return False
    if stored.name == CONTROL_NAME:
        state.stored_registers_digest = registers_digest(part)
    if stored.name == CONFIG_NAME:
        _record_stored(state, part)
    current = state.control.configuration.generation
    try:
        changed = merge_control_state(state, part)
    except ValueError as error:
        _log.error('object %s is not valid: %s', stored.name, error)
        return False
    if state.control.configuration.generation > current:
        state.configuration_source = 'platform'
    return changed


def _record_stored(state: NodeState, part: ControlState) -> None:
    stored = part.configuration
    current = state.control.configuration.generation
    if stored.generation < current:
        _log.warning(
            'the platform has generation %d, older than %d in force',
            stored.generation,
            current,
        )
    reported = ReportedConfiguration(stored.generation, stored.digest)
    record_configuration(state, PLATFORM_SOURCE, reported)


async def _load(
    state: NodeState,
    platform: ControlPlatform,
    name: str,
) -> None:
    stored = await platform.get(name)
    if stored is not None:
        merge_object(state, stored)
