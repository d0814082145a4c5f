"""Listing, watching, lost history and lost contact."""

import asyncio
from collections import deque
from datetime import timedelta
from random import Random

import pytest
from returns.result import Failure, Result, Success

from nutmegstep.clock import ManualClock
from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectChanges,
    StoreAvailability,
    Watcher,
)
from nutmegstep.store_watch.core import Subscription

_AWAY = Failure(PlatformFailure(PlatformFailureKind.TIMEOUT, 'no reply'))
_Reply = Result[Listing | ObjectChanges | HistoryGone, PlatformFailure]


class _Script:
    """Reader that gives scripted replies, then waits for good."""

    def __init__(self, *replies: _Reply) -> None:
        self.calls: list[tuple[str, int]] = []
        self.waits: list[timedelta] = []
        self.done = asyncio.Event()
        self._replies = deque(replies)

    async def list_kind(self, kind: str) -> _Reply:
        return await self._next('list', 0)

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait: timedelta,
    ) -> _Reply:
        self.waits.append(wait)
        return await self._next('watch', revision)

    async def _next(self, operation: str, revision: int) -> _Reply:
        self.calls.append((operation, revision))
        if not self._replies:
            self.done.set()
            await asyncio.Event().wait()
        return self._replies.popleft()


class _Seen:
    """What a subscriber was told."""

    def __init__(self) -> None:
        self.listings: list[Listing] = []
        self.changes: list[ObjectChange] = []
        self.subscription = Subscription(
            'things',
            timedelta(seconds=1),
            timedelta(0),
            timedelta(milliseconds=20),
            self.listings.append,
            lambda found: self.changes.extend(found.changes),
        )


async def _run(
    script: _Script,
    availability: StoreAvailability | None = None,
    is_prober: bool = True,
) -> _Seen:
    seen = _Seen()
    availability = availability or StoreAvailability(
        ManualClock(), lambda: None
    )
    watcher = Watcher(
        script,
        availability,
        seen.subscription,
        Random(1),
        is_prober,
    )
    task = asyncio.create_task(watcher.run())
    async with asyncio.timeout(5):
        await script.done.wait()
    task.cancel()
    return seen


async def test_watch_goes_on_where_the_listing_ended() -> None:
    """Guards against changes between a listing and its watch being missed."""
    change = ObjectChange('a', 1, is_deleted=False)
    script = _Script(
        Success(Listing({}, 5)),
        Success(ObjectChanges((change,), 8)),
    )
    seen = await _run(script)
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 8)]
    assert seen.changes == [change]


async def test_lost_history_is_listed_again() -> None:
    """Guards against a follower that stays behind after a compaction."""
    script = _Script(
        Success(Listing({}, 5)),
        Success(HistoryGone()),
        Success(Listing({'a': 1}, 20)),
    )
    seen = await _run(script)
    assert [one.revision for one in seen.listings] == [5, 20]


async def test_older_listing_is_passed_over() -> None:
    """Guards against a lagging relay that brings back what was removed."""
    script = _Script(
        Success(Listing({}, 10)),
        Success(HistoryGone()),
        Success(Listing({'removed': 1}, 5)),
        Success(Listing({}, 12)),
    )
    seen = await _run(script)
    assert [one.revision for one in seen.listings] == [10, 12]


async def test_contact_is_regained_once() -> None:
    """Guards against a grace period that each further call extends."""
    regained: list[bool] = []
    availability = StoreAvailability(
        ManualClock(), lambda: regained.append(True)
    )
    script = _Script(
        _AWAY, _AWAY, Success(Listing({}, 5)), Success(ObjectChanges((), 5))
    )
    await _run(script, availability)
    assert regained == [True]


async def test_only_the_prober_tries_a_lost_store() -> None:
    """Guards against priced calls of all followers while the store is away."""
    availability = StoreAvailability(ManualClock(), lambda: None)
    availability.report_failure(_AWAY.failure())
    script = _Script(Success(Listing({}, 5)))
    seen = _Seen()
    watcher = Watcher(
        script,
        availability,
        seen.subscription,
        Random(1),
        is_prober=False,
    )
    task = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.05)
    assert not script.calls
    availability.report_success()
    async with asyncio.timeout(1):
        await script.done.wait()
    task.cancel()
    assert script.calls[0] == ('list', 0)


async def test_waiting_watch_ends_with_the_contact() -> None:
    """Guards against a watch that waits on a connection that went silent."""
    availability = StoreAvailability(ManualClock(), lambda: None)
    script = _Script(Success(Listing({}, 5)))
    seen = _Seen()
    watcher = Watcher(
        script,
        availability,
        seen.subscription,
        Random(1),
        is_prober=False,
    )
    task = asyncio.create_task(watcher.run())
    await script.done.wait()
    availability.report_failure(_AWAY.failure())
    await asyncio.sleep(0.2)
    availability.report_success()
    await asyncio.sleep(0.05)
    task.cancel()
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 5)]


async def test_cut_watch_is_no_lost_store() -> None:
    """Guards against a relay that turns all its readers away for one cut."""
    losses: list[bool] = []
    availability = StoreAvailability(ManualClock(), lambda: losses.append(True))
    cut = Failure(PlatformFailure(PlatformFailureKind.UNREACHABLE, 'closed'))
    script = _Script(
        Success(Listing({}, 5)),
        cut,
        Success(ObjectChanges((), 6)),
    )
    await _run(script, availability)
    assert not losses


async def test_lost_store_is_asked_without_a_wait() -> None:
    """Guards against a watch that was sent to a silent store and keeps its VM
    from seeing the store's return for six seconds.
    """
    listed = Success(Listing({}, 1))
    script = _Script(listed, _AWAY, Success(ObjectChanges((), 1)))
    seen = await _run(script)
    assert script.waits == [
        seen.subscription.max_wait,
        timedelta(0),
        seen.subscription.max_wait,
    ]


async def _pauses(
    monkeypatch: pytest.MonkeyPatch,
    *replies: _Reply,
) -> list[float]:
    """Return the pauses between the calls of a follower."""
    pauses: list[float] = []

    async def note(seconds: float) -> None:
        pauses.append(seconds)

    monkeypatch.setattr('nutmegstep.store_watch.core.asyncio.sleep', note)
    await _run(_Script(*replies))
    return pauses


async def test_returned_store_is_found_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against versions and leaving targets that are read too late after
    an outage: calls that are lost just before its end come on top.
    """
    listed = Success(Listing({}, 1))
    pauses = await _pauses(monkeypatch, listed, *[_AWAY] * 20)
    assert max(pauses) <= 0.8


async def test_lost_answer_of_a_watch_is_noticed() -> None:
    """Guards against a follower whose watch was answered into a silent
    connection: it would not see a leaving target for twenty seconds.
    """
    availability = StoreAvailability(ManualClock(), lambda: None)
    script = _Script(Success(Listing({}, 5)))
    seen = _Seen()
    watcher = Watcher(script, availability, seen.subscription, Random(1), False)
    task = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.05)
    assert script.calls == [('list', 0), ('watch', 5)]
    availability.report_revision(6)
    await asyncio.sleep(0.2)
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 5)]
    task.cancel()
