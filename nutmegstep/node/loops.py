"""Loops of a relay around its calls to the platform."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final

from nutmegstep.clock import Clock
from nutmegstep.node import relay
from nutmegstep.node.contacts import is_relay
from nutmegstep.node.ports import ControlPlatform
from nutmegstep.node.state import NodeState

__all__ = ['PLATFORM_ERRORS', 'follow_list', 'follow_objects']

PLATFORM_ERRORS: Final = (OSError, TimeoutError, ValueError)
_LIST_SECONDS: Final = 5
_IDLE_SECONDS: Final = 0.5
_RETRY_SECONDS: Final = 1
_log = logging.getLogger(__name__)


async def follow_objects(
    state: NodeState,
    platform: ControlPlatform,
    clock: Clock,
    push: Callable[[], None],
) -> None:
    """Hold the watch while the own process is a relay."""
    since = 0
    while True:
        if is_relay(state, clock.monotonic()):
            since = await _watch(state, platform, since, push)
        else:
            await asyncio.sleep(_IDLE_SECONDS)


async def follow_list(
    state: NodeState,
    platform: ControlPlatform,
    clock: Clock,
) -> None:
    """Read the VM list and write registers back while a relay."""
    due = clock.monotonic()
    while True:
        now = clock.monotonic()
        relaying = is_relay(state, now)
        if relaying and now >= due:
            due = now + _LIST_SECONDS
            await _attempt(relay.read_list(state, platform, clock))
        if relaying:
            await _attempt(relay.write_back(state, platform))
        await asyncio.sleep(_IDLE_SECONDS)


async def _watch(
    state: NodeState,
    platform: ControlPlatform,
    since: int,
    push: Callable[[], None],
) -> int:
    try:
        following, changed = await relay.watch_once(state, platform, since)
    except PLATFORM_ERRORS as error:
        _log.warning('watch failed: %s', error)
        await asyncio.sleep(_RETRY_SECONDS)
        return since
    if changed:
        push()
    return following


async def _attempt(call: Coroutine[Any, Any, object]) -> None:
    try:
        await call
    except PLATFORM_ERRORS as error:
        _log.warning('call to the platform failed: %s', error)
        await asyncio.sleep(_RETRY_SECONDS)
