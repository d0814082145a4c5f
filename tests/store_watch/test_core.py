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

_TIMED_OUT = Failure(PlatformFailure(PlatformFailureKind.TIMEOUT, 'no reply'))
_Reply = Result[Listing | ObjectChanges | HistoryGone, PlatformFailure]


class _ScriptedReader:
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


class _Recorder:
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
    script: _ScriptedReader,
    availability: StoreAvailability | None = None,
    is_prober: bool = True,
) -> _Recorder:
    recorder = _Recorder()
    availability = availability or StoreAvailability(
        ManualClock(), lambda: None
    )
    watcher = Watcher(
        script,
        availability,
        recorder.subscription,
        Random(1),
        is_prober,
    )
    task = asyncio.create_task(watcher.run())
    async with asyncio.timeout(5):
        await script.done.wait()
    task.cancel()
    return recorder


async def test_watch_goes_on_where_the_listing_ended() -> None:
    """Guards against changes between a listing and its watch being missed."""
    change = ObjectChange('a', 1, is_deleted=False)
    script = _ScriptedReader(
        Success(Listing({}, 5)),
        Success(ObjectChanges((change,), 8)),
    )
    recorder = await _run(script)
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 8)]
    assert recorder.changes == [change]


async def test_lost_history_is_listed_again() -> None:
    """Guards against a follower that stays behind after a compaction."""
    script = _ScriptedReader(
        Success(Listing({}, 5)),
        Success(HistoryGone()),
        Success(Listing({'a': 1}, 20)),
    )
    recorder = await _run(script)
    assert [one.revision for one in recorder.listings] == [5, 20]


async def test_older_listing_is_passed_over() -> None:
    """Guards against a lagging relay that brings back what was removed."""
    script = _ScriptedReader(
        Success(Listing({}, 10)),
        Success(HistoryGone()),
        Success(Listing({'removed': 1}, 5)),
        Success(Listing({}, 12)),
    )
    recorder = await _run(script)
    assert [one.revision for one in recorder.listings] == [10, 12]


async def test_contact_is_regained_once() -> None:
    """Guards against a grace period that each further call extends."""
    regained: list[bool] = []
    availability = StoreAvailability(
        ManualClock(), lambda: regained.append(True)
    )
    script = _ScriptedReader(
        _TIMED_OUT,
        _TIMED_OUT,
        Success(Listing({}, 5)),
        Success(ObjectChanges((), 5)),
    )
    await _run(script, availability)
    assert regained == [True]


async def test_only_the_prober_tries_a_lost_store() -> None:
    """Guards against priced calls of all followers while the store is away."""
    availability = StoreAvailability(ManualClock(), lambda: None)
    availability.report_failure(_TIMED_OUT.failure())
    script = _ScriptedReader(Success(Listing({}, 5)))
    recorder = _Recorder()
    watcher = Watcher(
        script,
        availability,
        recorder.subscription,
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
    script = _ScriptedReader(Success(Listing({}, 5)))
    recorder = _Recorder()
    watcher = Watcher(
        script,
        availability,
        recorder.subscription,
        Random(1),
        is_prober=False,
    )
    task = asyncio.create_task(watcher.run())
    await script.done.wait()
    availability.report_failure(_TIMED_OUT.failure())
    await asyncio.sleep(0.2)
    availability.report_success()
    await asyncio.sleep(0.05)
    task.cancel()
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 5)]


async def test_cut_watch_is_no_lost_store() -> None:
    """Guards against a relay that turns all its readers away for one cut."""
    recoveries: list[bool] = []
    availability = StoreAvailability(
        ManualClock(), lambda: recoveries.append(True)
    )
    closed = Failure(PlatformFailure(PlatformFailureKind.UNREACHABLE, 'closed'))
    script = _ScriptedReader(
        Success(Listing({}, 5)),
        closed,
        Success(ObjectChanges((), 6)),
    )
    await _run(script, availability)
    assert not recoveries


async def test_lost_store_is_asked_without_a_wait() -> None:
    """Guards against a watch that was sent to a silent store and keeps its VM
    from seeing the store's return for six seconds.
    """
    listed = Success(Listing({}, 1))
    script = _ScriptedReader(listed, _TIMED_OUT, Success(ObjectChanges((), 1)))
    recorder = await _run(script)
    assert script.waits == [
        recorder.subscription.max_wait,
        timedelta(0),
        recorder.subscription.max_wait,
    ]


async def _pauses(
    monkeypatch: pytest.MonkeyPatch,
    *replies: _Reply,
) -> list[float]:
    """Return the pauses between the calls of a follower."""
    pauses: list[float] = []

    async def record_pause(seconds: float) -> None:
        pauses.append(seconds)

    monkeypatch.setattr(
        'nutmegstep.store_watch.core.asyncio.sleep', record_pause
    )
    await _run(_ScriptedReader(*replies))
    return pauses


async def test_returned_store_is_found_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against versions and leaving targets that are read too late after
    an outage: calls that are lost just before its end come on top.
    """
    listed = Success(Listing({}, 1))
    pauses = await _pauses(monkeypatch, listed, *[_TIMED_OUT] * 20)
    assert max(pauses) <= 0.8


async def test_lost_answer_of_a_watch_is_noticed() -> None:
    """Guards against a follower whose watch was answered into a silent
    connection: it would not see a leaving target for twenty seconds.
    """
    availability = StoreAvailability(ManualClock(), lambda: None)
    script = _ScriptedReader(Success(Listing({}, 5)))
    recorder = _Recorder()
    watcher = Watcher(
        script, availability, recorder.subscription, Random(1), False
    )
    task = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.05)
    assert script.calls == [('list', 0), ('watch', 5)]
    availability.report_revision(6)
    await asyncio.sleep(0.2)
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 5)]
    task.cancel()
