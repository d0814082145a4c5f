"""Lists a kind of objects, then watches its changes."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any, Final

from returns.pipeline import is_successful
from returns.result import Result

from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.store_watch.availability import StoreAvailability
from nutmegstep.store_watch.reader import (
    HistoryGone,
    Listing,
    ObjectChanges,
    StoreReader,
)
from nutmegstep.store_watch.revisions import era_of
from nutmegstep.store_watch.waiting import cancel_on_event, wait_any

__all__ = ['Subscription', 'Watcher']

_WatchResult = Result[ObjectChanges | HistoryGone, PlatformFailure]

_LOG: Final = logging.getLogger(__name__)
_FIRST_PAUSE_S: Final = 0.1
"""Longest pause after the first failed call. It doubles with each further one,
and a pause is a random part of it, at least half."""
_MAX_PAUSE_S: Final = 0.8
"""Longest pause before any repeated call. The end of an outage is noticed in
this time, which is a part of the time in which changes must be in force."""
_NO_WAIT: Final = timedelta(0)
_PAUSE_GROWTH: Final = 2
_MAX_GROWTH_STEPS: Final = 4


@dataclass(frozen=True, slots=True)
class Subscription:
    """A kind of objects to watch, with its callbacks and times.

    Parameters
    ----------
    kind : str
        Kind of objects.
    max_wait : datetime.timedelta
        Longest wait of one watch.
    batch_pause : datetime.timedelta
        Pause after a change, so that the next watch returns several changes.
    max_lag : datetime.timedelta
        Time for which a watch may stay open after another watcher has read a
        newer revision; after it the watch is repeated.
    on_listing : Callable
        Called with all objects after each listing.
    on_changes : Callable
        Called with the changes after each watch.
    """

    kind: str
    max_wait: timedelta
    batch_pause: timedelta
    max_lag: timedelta
    on_listing: Callable[[Listing], None]
    on_changes: Callable[[ObjectChanges], None]


class Watcher:
    """Lists one kind of objects and watches its changes.

    While the store does not answer, only the prober calls it. The other
    watchers wait until it succeeds, because each call is charged for.

    Parameters
    ----------
    reader : StoreReader
        Client of the store, or of relays.
    availability : StoreAvailability
        Availability of the store, shared with the other watchers of this VM.
    subscription : Subscription
        What to watch, and the callbacks.
    random : random.Random
        Spreads the calls of the VMs over time.
    is_prober : bool
        Whether this watcher calls a store that does not answer.
    """

    def __init__(
        self,
        reader: StoreReader,
        availability: StoreAvailability,
        subscription: Subscription,
        random: Random,
        is_prober: bool,
    ) -> None:
        self._reader = reader
        self._availability = availability
        self._subscription = subscription
        self._random = random
        self._is_prober = is_prober
        self._revision: int | None = None
        self._highest_revision = 0
        self._checked_revision = 0
        self._failures = 0
        self._refresh_requested = asyncio.Event()
        self._refreshed = asyncio.Event()

    async def refresh(self) -> None:
        """Read at once what has changed; return when it has been read.

        The call in flight is cancelled, because its connection may have been
        lost without notice.
        """
        self._refreshed.clear()
        self._refresh_requested.set()
        await self._refreshed.wait()

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            if not self._is_prober:
                await self._availability.available.wait()
            if await self._run_once():
                self._failures = 0
                continue
            await asyncio.sleep(self._pause())

    async def _run_once(self) -> bool:
        if self._refresh_requested.is_set():
            return await self._call_if_available()
        done = await cancel_on_event(
            self._refresh_requested, self._call_if_available()
        )
        # None: cancelled by a request to refresh, which is served at once.
        return True if done is None else done

    async def _call_if_available(self) -> bool:
        if self._is_prober:
            return await self._call()
        return bool(
            await cancel_on_event(self._availability.unavailable, self._call())
        )

    async def _call(self) -> bool:
        revision = self._revision
        # A watch from a number of an earlier era may wait for changes although
        # the store has given out that number again.
        latest_era = era_of(self._availability.latest_revision)
        if revision is None or era_of(revision) < latest_era:
            return await self._list()
        return await self._watch(revision)

    async def _list(self) -> bool:
        listed = await self._reader.list_kind(self._subscription.kind)
        if not is_successful(listed):
            self._availability.record_failure(listed.failure())
            return False
        self._availability.record_success()
        listing = listed.unwrap()
        if listing.revision < self._highest_revision:
            # A relay that lags behind has answered; the known state is newer.
            fields = {
                'kind': self._subscription.kind,
                'known': self._highest_revision,
                'listed': listing.revision,
            }
            _LOG.info('older listing ignored', extra=fields)
            return False
        self._advance(listing.revision)
        self._subscription.on_listing(listing)
        self._end_refresh()
        return True

    async def _watch(self, revision: int) -> bool:
        # A watch that is lost in an outage blocks until it times out, even if
        # the store answers again meanwhile. Without a wait, that time is short.
        is_urgent = (
            self._availability.unavailable.is_set()
            or self._refresh_requested.is_set()
        )
        wait = _NO_WAIT if is_urgent else self._subscription.max_wait
        watched = await self._await_unless_behind(
            self._reader.watch_kind(self._subscription.kind, revision, wait),
        )
        if watched is None:
            fields = {'kind': self._subscription.kind, 'known': revision}
            _LOG.info(
                'watch returned no newer revision, watching again', extra=fields
            )
            return True
        if not is_successful(watched):
            return self._handle_watch_failure(watched.failure())
        self._availability.record_success()
        found = watched.unwrap()
        if isinstance(found, HistoryGone):
            self._revision = None
            fields = {'kind': self._subscription.kind, 'revision': revision}
            _LOG.info('history gone, listing again', extra=fields)
            return True
        self._advance(found.revision)
        self._subscription.on_changes(found)
        self._end_refresh()
        if found.changes:
            await asyncio.sleep(self._subscription.batch_pause.total_seconds())
        return True

    async def _await_unless_behind(
        self,
        awaitable: Coroutine[Any, Any, _WatchResult],
    ) -> _WatchResult | None:
        # The watch of the prober is short enough to end by itself.
        if self._is_prober:
            return await awaitable
        # If an answer is lost, its watch stays open until it times out. It is
        # noticed when another watcher reads a newer revision.
        call = asyncio.ensure_future(awaitable)
        try:
            while not call.done():
                if await self._is_behind(call):
                    break
            return call.result() if call.done() else None
        finally:
            call.cancel()

    async def _is_behind(self, call: asyncio.Future[_WatchResult]) -> bool:
        if self._availability.latest_revision <= max(
            self._highest_revision, self._checked_revision
        ):
            await wait_any((call,), (self._availability.revision_advanced,))
            return False
        latest_era = era_of(self._availability.latest_revision)
        if latest_era == era_of(self._highest_revision):
            lag = self._subscription.max_lag.total_seconds()
            await asyncio.wait((call,), timeout=lag)
        # The newer revision may be that of another kind of objects, so one
        # revision causes at most one repeated watch.
        self._checked_revision = self._availability.latest_revision
        return not call.done()

    def _handle_watch_failure(self, failure: PlatformFailure) -> bool:
        # The connection of a watch may be closed although the store answers.
        # Only a second failure, or one of another kind, means an outage.
        is_first = self._failures == 0
        if failure.kind is PlatformFailureKind.UNREACHABLE and is_first:
            return False
        self._availability.record_failure(failure)
        return False

    def _end_refresh(self) -> None:
        self._refresh_requested.clear()
        self._refreshed.set()

    def _advance(self, revision: int) -> None:
        self._revision = revision
        self._highest_revision = max(self._highest_revision, revision)
        self._availability.record_revision(revision)

    def _pause(self) -> float:
        factor = float(_PAUSE_GROWTH) ** self._failures
        self._failures = min(self._failures + 1, _MAX_GROWTH_STEPS)
        pause = min(_FIRST_PAUSE_S * factor, _MAX_PAUSE_S)
        return pause * (1 + self._random.random()) / 2
