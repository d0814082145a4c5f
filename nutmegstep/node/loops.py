"""Loops in which a relay watches and polls the platform."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

from nutmegstep.clock import Clock
from nutmegstep.node import relay
from nutmegstep.node.contacts import is_relay
from nutmegstep.node.ports import ControlPlatform
from nutmegstep.node.state import NodeState

__all__ = ['PLATFORM_ERRORS', 'poll_vm_list', 'watch_objects']

PLATFORM_ERRORS: Final = (OSError, TimeoutError, ValueError)
_LIST_INTERVAL_SECONDS: Final = 5
_RELAY_CHECK_SECONDS: Final = 0.5
_RETRY_SECONDS: Final = 1
_log = logging.getLogger(__name__)


async def watch_objects(
    state: NodeState,
    platform: ControlPlatform,
    clock: Clock,
    send_heartbeats: Callable[[], None],
) -> None:
    """Watch the objects of the platform while this VM is a relay.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    platform : ControlPlatform
        Client of the object API.
    clock : Clock
        Clock of the VM.
    send_heartbeats : Callable
        Called after a change, so that the other VMs learn of it at once.
    """
    since = 0
    while True:
        if is_relay(state, clock.monotonic()):
            since = await _watch(state, platform, since, send_heartbeats)
        else:
            await asyncio.sleep(_RELAY_CHECK_SECONDS)


async def poll_vm_list(
    state: NodeState,
    platform: ControlPlatform,
    clock: Clock,
) -> None:
    """Read the VM list and write changed registers while this VM is a relay.

    Registers hold the withdrawals and drains, which operators may change at an
    entry VM while the platform cannot be reached.
    """
    next_read_at = clock.monotonic()
    while True:
        now = clock.monotonic()
        relaying = is_relay(state, now)
        if relaying and now >= next_read_at:
            next_read_at = now + _LIST_INTERVAL_SECONDS
            await _call_platform(relay.read_list(state, platform, clock))
        if relaying:
            await _call_platform(relay.write_back(state, platform))
        await asyncio.sleep(_RELAY_CHECK_SECONDS)


async def _watch(
    state: NodeState,
    platform: ControlPlatform,
    since: int,
    send_heartbeats: Callable[[], None],
) -> int:
    try:
        next_since, changed = await relay.watch_once(state, platform, since)
    except PLATFORM_ERRORS as error:
        _log.warning('watch on the platform failed: %s', error)
        await asyncio.sleep(_RETRY_SECONDS)
        return since
    if changed:
        send_heartbeats()
    return next_since


async def _call_platform(call: Coroutine[Any, Any, object]) -> None:
    try:
        await call
    except PLATFORM_ERRORS as error:
        _log.warning('call to the platform failed: %s', error)
        await asyncio.sleep(_RETRY_SECONDS)
