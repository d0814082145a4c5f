"""Timers that the reducer sets, run by the asyncio event loop."""

import asyncio
from collections.abc import Callable

from nutmegstep.clock import Clock
from nutmegstep.engine.effects import CancelTimer, SetTimer
from nutmegstep.engine.events import TimerFired, TimerKey

__all__ = ['EngineTimers']


class EngineTimers:
    """The running timers, at most one for each `TimerKey`.

    Parameters
    ----------
    clock : Clock
        Clock that the times in `SetTimer` refer to.
    dispatch : Callable
        Called with `TimerFired` when a timer expires.
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
        """Start a timer; it replaces a running one with the same key.

        Parameters
        ----------
        effect : SetTimer
            Key and expiry time. A timer whose time has passed fires in the
            next iteration of the event loop.
        """
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
        """Stop a timer; does nothing if it is not running.

        Parameters
        ----------
        effect : CancelTimer
            Key of the timer.
        """
        self._cancel_handle(effect.timer)

    def _cancel_handle(self, timer: TimerKey) -> None:
        handle = self._handle_by_key.pop(timer, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, timer: TimerKey) -> None:
        self._handle_by_key.pop(timer, None)
        self._dispatch(TimerFired(timer))
