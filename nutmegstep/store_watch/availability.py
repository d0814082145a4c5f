"""Whether the store answers, as seen by all followers together."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.platform_api.records import PlatformFailure

__all__ = ['StoreAvailability']

_LOG: Final = logging.getLogger(__name__)


class StoreAvailability:
    """Shared belief about the store.

    Parameters
    ----------
    clock : Clock
        Dates losses.
    on_recovered : Callable
        Called when the store answers again after a loss.

    Attributes
    ----------
    unavailable : asyncio.Event
        Set while the store does not answer.
    available : asyncio.Event
        Set while it answers.
    latest_revision : int
        Highest revision of the store that a follower has seen.
    revision_advanced : asyncio.Event
        Replaced and set when `latest_revision` grows.
    """

    def __init__(self, clock: Clock, on_recovered: Callable[[], None]) -> None:
        self.unavailable = asyncio.Event()
        self.available = asyncio.Event()
        self.available.set()
        self.latest_revision = 0
        self.revision_advanced = asyncio.Event()
        self._clock = clock
        self._on_recovered = on_recovered
        self._unavailable_since = float(0)

    def report_failure(self, failure: PlatformFailure) -> None:
        """Take a failed call."""
        if self.unavailable.is_set():
            return
        self._unavailable_since = self._clock.monotonic()
        self.unavailable.set()
        self.available.clear()
        fields = {'kind': failure.kind.value, 'detail': failure.detail}
        _LOG.warning('store lost', extra=fields)

    def report_revision(self, revision: int) -> None:
        """Take the store's revision from an answer."""
        if revision <= self.latest_revision:
            return
        self.latest_revision = revision
        waiting = self.revision_advanced
        self.revision_advanced = asyncio.Event()
        waiting.set()

    def report_success(self) -> None:
        """Take a call that was answered."""
        if not self.unavailable.is_set():
            return
        self.unavailable.clear()
        self._on_recovered()
        self.available.set()
        seconds = self._clock.monotonic() - self._unavailable_since
        _LOG.info('store regained', extra={'after_s': round(seconds, 3)})
