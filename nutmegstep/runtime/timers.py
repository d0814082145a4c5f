"""Timers of the reducer on the event loop."""

import asyncio
from collections.abc import Callable

from nutmegstep.clock import Clock
from nutmegstep.engine.effects import CancelTimer, SetTimer
from nutmegstep.engine.events import TimerFired, TimerKey

__all__ = ['EngineTimers']


class EngineTimers:
    """At most one timer per key; a later one replaces an earlier one.

    Parameters
    ----------
    clock : Clock
        Clock of the instants in the effects.
    dispatch : Callable
        Takes `TimerFired`.
    """

    def __init__(
        self,
        clock: Clock,
        dispatch: Callable[[TimerFired], None],
    ) -> None:
        self._clock = clock
        self._dispatch = dispatch
        self._handle_by_key: dict[TimerKey, asyncio.TimerHandle] = {}

    def set(self, effect: SetTimer) -> None:
        """Start a timer."""
        self._cancel_handle(effect.timer)
        delay = max(0, effect.at - self._clock.monotonic())
        self._handle_by_key[effect.timer] = (
            asyncio.get_running_loop().call_later(
                delay,
                self._fire,
                effect.timer,
            )
        )

    def cancel(self, effect: CancelTimer) -> None:
        """Stop a timer; an unknown one is ignored."""
        self._cancel_handle(effect.timer)

    def _cancel_handle(self, timer: TimerKey) -> None:
        handle = self._handle_by_key.pop(timer, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, timer: TimerKey) -> None:
        self._handle_by_key.pop(timer, None)
        self._dispatch(TimerFired(timer))
