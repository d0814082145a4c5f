"""Waits for the first of several calls, events and a time-out."""

import asyncio
from collections.abc import Awaitable, Iterable
from typing import Any, TypeVar

__all__ = ['cancel_on_event', 'wait_any']

_Value = TypeVar('_Value')


async def wait_any(
    calls: Iterable[asyncio.Future[Any]],
    events: Iterable[asyncio.Event],
    seconds: float | None = None,
) -> None:
    """Wait until a call is done, an event is set or the time is over.

    Parameters
    ----------
    calls : iterable of asyncio.Future
        Any of them ends the wait when it is done; none is cancelled.
    events : iterable of asyncio.Event
        Any of them ends the wait when it is set.
    seconds : float, optional
        Longest wait; unlimited by default.
    """
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(
            (*calls, *waits),
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for wait in waits:
            wait.cancel()


async def cancel_on_event(
    event: asyncio.Event,
    awaitable: Awaitable[_Value],
) -> _Value | None:
    """Return the result, or cancel and return None once an event is set.

    Parameters
    ----------
    event : asyncio.Event
        Event that ends the wait.
    awaitable : Awaitable
        Cancelled if the event is set first.
    """
    call = asyncio.ensure_future(awaitable)
    try:
        await wait_any((call,), (event,))
        return call.result() if call.done() else None
    finally:
        call.cancel()
