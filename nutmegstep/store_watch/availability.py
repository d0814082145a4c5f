"""Availability of the store, as seen by all watchers of this VM."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.platform_api.records import PlatformFailure
from nutmegstep.store_watch.revisions import era_of

__all__ = ['StoreAvailability']

_LOG: Final = logging.getLogger(__name__)


class StoreAvailability:
    """Whether the store answers; shared by all watchers of this VM.

    Parameters
    ----------
    clock : Clock
        Monotonic clock that measures the length of outages.
    on_recovered : Callable
        Called when the store answers again after an outage.
    on_restored : Callable, optional
        Called when the store has been restored from a copy, before any object
        of its new era is passed on.

    Attributes
    ----------
    unavailable : asyncio.Event
        Set while the store does not answer.
    available : asyncio.Event
        Set while it answers.
    latest_revision : int
        Highest revision of the store that any watcher has read.
    revision_advanced : asyncio.Event
        Set, and replaced by a new event, when `latest_revision` grows.
    restored : asyncio.Event
        Set, and replaced by a new event, when the store has been restored from
        a copy.
    """

    def __init__(
        self,
        clock: Clock,
        on_recovered: Callable[[], None],
        on_restored: Callable[[], None] | None = None,
    ) -> None:
        self.unavailable = asyncio.Event()
        self.available = asyncio.Event()
        self.available.set()
        self.latest_revision = 0
        self.revision_advanced = asyncio.Event()
        self.restored = asyncio.Event()
        self._clock = clock
        self._on_recovered = on_recovered
        self._on_restored = on_restored
        self._unavailable_since = float(0)

    def record_failure(self, failure: PlatformFailure) -> None:
        """Record a failed call."""
        if self.unavailable.is_set():
            return
        self._unavailable_since = self._clock.monotonic()
        self.unavailable.set()
        self.available.clear()
        fields = {'kind': failure.kind.value, 'detail': failure.detail}
        _LOG.warning('store lost', extra=fields)

    def record_revision(self, revision: int) -> None:
        """Record the revision of the store in an answer."""
        previous = self.latest_revision
        if revision <= previous:
            return
        self.latest_revision = revision
        waiting = self.revision_advanced
        self.revision_advanced = asyncio.Event()
        waiting.set()
        if previous and era_of(revision) > era_of(previous):
            self._record_restoration()

    def record_success(self) -> None:
        """Record a call that was answered."""
        if not self.unavailable.is_set():
            return
        self.unavailable.clear()
        self._on_recovered()
        self.available.set()
        seconds = self._clock.monotonic() - self._unavailable_since
        _LOG.info('store regained', extra={'after_s': round(seconds, 3)})

    def _record_restoration(self) -> None:
        waiting = self.restored
        self.restored = asyncio.Event()
        waiting.set()
        if self._on_restored is not None:
            self._on_restored()
