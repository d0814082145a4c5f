"""Listing, watching, discarded history and outages of the store."""

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
    """Reader that returns the given replies and then never answers."""

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

    def add(self, reply: _Reply) -> None:
        self._replies.append(reply)

    async def _next(self, operation: str, revision: int) -> _Reply:
        self.calls.append((operation, revision))
        if not self._replies:
            self.done.set()
            await asyncio.Event().wait()
        return self._replies.popleft()


class _Recorder:
    """Subscription that records what its callbacks receive."""

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
    """Guards against missing the changes between a listing and its watch."""
    change = ObjectChange('a', 1, is_deleted=False)
    script = _ScriptedReader(
        Success(Listing({}, 5)),
        Success(ObjectChanges((change,), 8)),
    )
    recorder = await _run(script)
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 8)]
    assert recorder.changes == [change]


async def test_objects_are_listed_again_without_history() -> None:
    """Guards against a watcher that never catches up after the store has
    discarded the changes that it missed.
    """
    script = _ScriptedReader(
        Success(Listing({}, 5)),
        Success(HistoryGone()),
        Success(Listing({'a': 1}, 20)),
    )
    recorder = await _run(script)
    assert [one.revision for one in recorder.listings] == [5, 20]


async def test_older_listing_is_ignored() -> None:
    """Guards against bringing back removed objects from the listing of a relay
    that lags behind.
    """
    script = _ScriptedReader(
        Success(Listing({}, 10)),
        Success(HistoryGone()),
        Success(Listing({'removed': 1}, 5)),
        Success(Listing({}, 12)),
    )
    recorder = await _run(script)
    assert [one.revision for one in recorder.listings] == [10, 12]


async def test_recovery_is_reported_once() -> None:
    """Guards against a report of recovery at each answered call, which would
    extend the grace period after an outage again and again.
    """
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


async def test_only_the_prober_calls_an_unavailable_store() -> None:
    """Guards against calls of all watchers during an outage, since each call is
    charged for.
    """
    availability = StoreAvailability(ManualClock(), lambda: None)
    availability.record_failure(_TIMED_OUT.failure())
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
    availability.record_success()
    async with asyncio.timeout(1):
        await script.done.wait()
    task.cancel()
    assert script.calls[0] == ('list', 0)


async def test_open_watch_ends_with_an_outage() -> None:
    """Guards against a watch that stays open on a dead connection after another
    watcher has noticed the outage.
    """
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
    availability.record_failure(_TIMED_OUT.failure())
    await asyncio.sleep(0.2)
    availability.record_success()
    await asyncio.sleep(0.05)
    task.cancel()
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 5)]


async def test_closed_watch_is_not_an_outage() -> None:
    """Guards against an outage that is inferred from one closed connection: a
    relay would turn all its readers away.
    """
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


async def test_unavailable_store_is_watched_without_a_wait() -> None:
    """Guards against a watch with a wait that is lost in an outage: its VM
    would notice six seconds too late that the store answers again.
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
    """Return the pauses between the calls of a watcher, in seconds."""
    pauses: list[float] = []

    async def record_pause(seconds: float) -> None:
        pauses.append(seconds)

    monkeypatch.setattr(
        'nutmegstep.store_watch.core.asyncio.sleep', record_pause
    )
    await _run(_ScriptedReader(*replies))
    return pauses


async def test_end_of_an_outage_is_noticed_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against long pauses between calls during an outage. Configurations
    and draining targets would be read too late after it, because the time-out
    of a call that is lost just before its end adds to the pause.
    """
    listed = Success(Listing({}, 1))
    pauses = await _pauses(monkeypatch, listed, *[_TIMED_OUT] * 20)
    assert max(pauses) <= 0.8


async def test_watch_whose_answer_is_lost_is_repeated() -> None:
    """Guards against a watcher that waits for an answer which was lost with its
    connection: it would not notice a draining target for 20 s.
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
    availability.record_revision(6)
    await asyncio.sleep(0.2)
    assert script.calls == [('list', 0), ('watch', 5), ('watch', 5)]
    task.cancel()


async def test_refresh_reads_at_once_on_a_new_call() -> None:
    """Guards against a process that was paused and waits for the answer to a
    watch whose connection has been lost meanwhile.
    """
    change = ObjectChange('a', {'x': 1}, is_deleted=False)
    script = _ScriptedReader(Success(Listing({}, 5)))
    recorder = _Recorder()
    availability = StoreAvailability(ManualClock(), lambda: None)
    watcher = Watcher(
        script, availability, recorder.subscription, Random(1), is_prober=False
    )
    running = asyncio.create_task(watcher.run())
    await asyncio.wait_for(script.done.wait(), 2)
    script.add(Success(ObjectChanges((change,), 6)))
    await asyncio.wait_for(watcher.refresh(), 2)
    assert recorder.changes == [change]
    assert script.waits[1] == timedelta(0)
    running.cancel()
