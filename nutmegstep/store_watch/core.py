"""Lists a kind of objects, then follows its changes."""

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
from nutmegstep.store_watch.waiting import cancel_on_event, wait_any

__all__ = ['Subscription', 'Watcher']

_WatchResult = Result[ObjectChanges | HistoryGone, PlatformFailure]

_LOG: Final = logging.getLogger(__name__)
_MIN_PAUSE_S: Final = 0.1
"""Seconds before a failed call is repeated."""
_MAX_PAUSE_S: Final = 0.8
"""Seconds between repeated calls at most; a lost store is found again within
this time, which is part of the time in which changes must be in force."""
_NO_WAIT: Final = timedelta(0)
_PAUSE_GROWTH: Final = 2
_MAX_GROWTH_STEPS: Final = 4


@dataclass(frozen=True, slots=True)
class Subscription:
    """What to follow and whom to tell.

    Parameters
    ----------
    kind : str
        Kind of objects.
    max_wait : datetime.timedelta
        Longest wait of one watch.
    batch_pause : datetime.timedelta
        Pause after a change, in which further changes come together.
    max_lag : datetime.timedelta
        Time in which a watch returns a revision that another one has shown.
    on_listing : Callable
        Takes all objects.
    on_changes : Callable
        Takes changes in order; called after each watch.
    """

    kind: str
    max_wait: timedelta
    batch_pause: timedelta
    max_lag: timedelta
    on_listing: Callable[[Listing], None]
    on_changes: Callable[[ObjectChanges], None]


class Watcher:
    """Keeps one kind of objects current.

    While the store does not answer, one follower tries it again; the others
    wait for its success, because each call is priced.

    Parameters
    ----------
    reader : StoreReader
        The store.
    availability : StoreAvailability
        Shared with the other followers.
    subscription : Subscription
        What to follow.
    random : random.Random
        Spreads the pauses of the VMs.
    is_prober : bool
        Whether this follower tries a store that does not answer.
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

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self._is_prober:
                await self._availability.available.wait()
            if await self._run_once():
                self._failures = 0
                continue
            await asyncio.sleep(self._pause())

    async def _run_once(self) -> bool:
        if self._is_prober:
            return await self._call()
        return bool(
            await cancel_on_event(self._availability.unavailable, self._call())
        )

    async def _call(self) -> bool:
        if self._revision is None:
            return await self._list()
        return await self._watch(self._revision)

    async def _list(self) -> bool:
        listed = await self._reader.list_kind(self._subscription.kind)
        if not is_successful(listed):
            self._availability.report_failure(listed.failure())
            return False
        self._availability.report_success()
        listing = listed.unwrap()
        if listing.revision < self._highest_revision:
            # Another VM that lags behind answered; what is known is newer.
            fields = {
                'kind': self._subscription.kind,
                'known': self._highest_revision,
            }
            _LOG.info('older listing passed over', extra=fields)
            return False
        self._advance(listing.revision)
        self._subscription.on_listing(listing)
        return True

    async def _watch(self, revision: int) -> bool:
        # A silent store may return just after a call was sent to it. A call
        # that does not wait shows so soon whether the store answers.
        is_unavailable = self._availability.unavailable.is_set()
        wait = _NO_WAIT if is_unavailable else self._subscription.max_wait
        watched = await self._await_unless_behind(
            self._reader.watch_kind(self._subscription.kind, revision, wait),
        )
        if watched is None:
            fields = {'kind': self._subscription.kind, 'known': revision}
            _LOG.info('watch may be lost, watching again', extra=fields)
            return True
        if not is_successful(watched):
            return self._handle_watch_failure(watched.failure())
        self._availability.report_success()
        found = watched.unwrap()
        if isinstance(found, HistoryGone):
            self._revision = None
            fields = {'kind': self._subscription.kind, 'revision': revision}
            _LOG.info('history gone, listing again', extra=fields)
            return True
        self._advance(found.revision)
        self._subscription.on_changes(found)
        if found.changes:
            await asyncio.sleep(self._subscription.batch_pause.total_seconds())
        return True

    async def _await_unless_behind(
        self,
        awaitable: Coroutine[Any, Any, _WatchResult],
    ) -> _WatchResult | None:
        # The watch of the prober is short and ends in time by itself.
        if self._is_prober:
            return await awaitable
        # An answer that is lost leaves its watch open until it times out.
        # Other followers then show revisions that this one has not seen.
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
        lag = self._subscription.max_lag.total_seconds()
        await asyncio.wait((call,), timeout=lag)
        # A newer revision may belong to another kind; it is checked once.
        self._checked_revision = self._availability.latest_revision
        return not call.done()

    def _handle_watch_failure(self, failure: PlatformFailure) -> bool:
        # A waiting watch may be cut off while the store goes on to answer.
        # Only a second failure, or silence, shows that it does not.
        is_first = self._failures == 0
        if failure.kind is PlatformFailureKind.UNREACHABLE and is_first:
            return False
        self._availability.report_failure(failure)
        return False

    def _advance(self, revision: int) -> None:
        self._revision = revision
        self._highest_revision = max(self._highest_revision, revision)
        self._availability.report_revision(revision)

    def _pause(self) -> float:
        factor = float(_PAUSE_GROWTH) ** self._failures
        self._failures = min(self._failures + 1, _MAX_GROWTH_STEPS)
        pause = min(_MIN_PAUSE_S * factor, _MAX_PAUSE_S)
        return pause * (1 + self._random.random()) / 2
