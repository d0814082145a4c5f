"""Awaits something unless an event comes first."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

__all__ = ['unless']

_Value = TypeVar('_Value')


async def unless(
    event: asyncio.Event,
    awaitable: Awaitable[_Value],
) -> _Value | None:
    """Return the result, or None after cancelling when the event is set.

    Parameters
    ----------
    event : asyncio.Event
        Ends the wait.
    awaitable : Awaitable
        Cancelled when the event is set first.
    """
    call = asyncio.ensure_future(awaitable)
    interrupted = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait(
            (call, interrupted),
            return_when=asyncio.FIRST_COMPLETED,
        )
        return call.result() if call.done() else None
    finally:
        call.cancel()
        interrupted.cancel()
