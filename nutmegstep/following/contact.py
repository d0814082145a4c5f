"""Whether the store answers, as seen by all followers together."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.platform_api.records import PlatformFailure

__all__ = ['StoreContact']

_LOG: Final = logging.getLogger(__name__)


class StoreContact:
    """Shared belief about the store.

    Parameters
    ----------
    clock : Clock
        Dates losses.
    on_regained : Callable
        Called when the store answers again after a loss.

    Attributes
    ----------
    lost : asyncio.Event
        Set while the store does not answer.
    regained : asyncio.Event
        Set while it answers.
    newest : int
        Highest revision of the store that a follower has seen.
    advanced : asyncio.Event
        Replaced and set when `newest` grows.
    """

    def __init__(self, clock: Clock, on_regained: Callable[[], None]) -> None:
        self.lost = asyncio.Event()
        self.regained = asyncio.Event()
        self.regained.set()
        self.newest = 0
        self.advanced = asyncio.Event()
        self._clock = clock
        self._on_regained = on_regained
        self._lost_at = float(0)

    def report_failure(self, failure: PlatformFailure) -> None:
        """Take a failed call."""
        if self.lost.is_set():
            return
        self._lost_at = self._clock.monotonic()
        self.lost.set()
        self.regained.clear()
        fields = {'kind': failure.kind.value, 'detail': failure.detail}
        _LOG.warning('store lost', extra=fields)

    def report_revision(self, revision: int) -> None:
        """Take the store's revision from an answer."""
        if revision <= self.newest:
            return
        self.newest = revision
        waiting = self.advanced
        self.advanced = asyncio.Event()
        waiting.set()

    def report_success(self) -> None:
        """Take a call that was answered."""
        if not self.lost.is_set():
            return
        self.lost.clear()
        self._on_regained()
        self.regained.set()
        seconds = self._clock.monotonic() - self._lost_at
        _LOG.info('store regained', extra={'after_s': round(seconds, 3)})
