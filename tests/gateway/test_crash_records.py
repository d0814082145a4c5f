"""Checks of targets and records of crashes in the store."""

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest
from returns.result import Failure, Result, Success

from nutmegstep.clock import SystemClock
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.control_events import (
    CrashDeleted,
    CrashesListed,
    CrashRecord,
    CrashStored,
    TargetChecked,
)
from nutmegstep.dispatch.effects import CheckTarget, DeleteCrash, PublishCrash
from nutmegstep.dispatch.events import Event
from nutmegstep.gateway.crash_records import (
    CrashReporter,
    read_record,
    write_record,
)
from nutmegstep.gateway.subscriptions import crash_subscription
from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.store_watch import (
    Listing,
    ObjectChange,
    ObjectChanges,
    StoreAvailability,
)
from tests.gateway.unimplemented_store import UnimplementedStore

_RETRY_DELAY = 'nutmegstep.gateway.crash_records._RETRY_DELAY_S'
_KIND = 'crashes'
_RECORD = CrashRecord('0a1b', 'i-7.f')
_NAME = '0a1b.i-7.f'
_LOST = PlatformFailure(PlatformFailureKind.TIMEOUT, 'no reply')


class _Store(UnimplementedStore):
    """Store whose first writes fail."""

    def __init__(self, failures: int = 0) -> None:
        self.names: set[str] = set()
        self._failures = failures

    async def put_object(
        self, kind: str, name: str
    ) -> Result[None, PlatformFailure]:
        return self._apply(lambda: self.names.add(name))

    async def delete_object(
        self, kind: str, name: str
    ) -> Result[None, PlatformFailure]:
        return self._apply(lambda: self.names.discard(name))

    def _apply(
        self, change: Callable[[], None]
    ) -> Result[None, PlatformFailure]:
        if self._failures:
            self._failures -= 1
            return Failure(_LOST)
        change()
        return Success(None)


class _Fixture:
    """Reporter with a store, and the events that it dispatches."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.store = _Store(failures=2)
        self.availability = StoreAvailability(SystemClock(), lambda: None)
        self.reporter = CrashReporter(self.events.append)

    def perform(self, effect: CheckTarget | PublishCrash | DeleteCrash) -> None:
        """Carry out an effect."""
        self.reporter.handler_by_effect[type(effect)](effect)

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(2):
            while not condition():
                await asyncio.sleep(0.01)


@pytest.fixture
async def fixture(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[_Fixture]:
    """Return a reporter that runs, with short delays."""
    monkeypatch.setattr(_RETRY_DELAY, 0.02)
    made = _Fixture()
    task = asyncio.create_task(
        made.reporter.run(made.store, _KIND, made.availability)
    )
    yield made
    task.cancel()
    made.reporter.close()


def _target(address: tuple[str, int]) -> TargetRecord:
    return TargetRecord(
        'i-7',
        'shard',
        *address,
        'north',
        3,
        is_draining=False,
        cold_until=0,
        started_ms=1,
    )


async def test_records_are_written_after_failures(fixture: _Fixture) -> None:
    """Guards against a record that is lost as the store does not answer."""
    fixture.perform(PublishCrash(_RECORD))
    await fixture.wait_for(lambda: fixture.store.names == {_NAME})
    fixture.perform(DeleteCrash(_RECORD))
    await fixture.wait_for(lambda: not fixture.store.names)


async def test_store_is_not_called_during_an_outage(fixture: _Fixture) -> None:
    """Guards against calls to a store that does not answer."""
    fixture.availability.record_failure(_LOST)
    fixture.perform(PublishCrash(_RECORD))
    await asyncio.sleep(0.1)
    assert not fixture.store.names
    fixture.availability.available.set()
    await fixture.wait_for(lambda: fixture.store.names == {_NAME})


async def test_target_that_refuses_connections_has_crashed(
    fixture: _Fixture,
) -> None:
    """Guards against a target at its limit of connections that is taken for a
    crashed one, and the reverse.
    """
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(), '127.0.0.1', 0
    )
    target = _target(server.sockets[0].getsockname())
    fixture.perform(CheckTarget(target))
    await fixture.wait_for(lambda: bool(fixture.events))
    server.close()
    fixture.perform(CheckTarget(target))
    await fixture.wait_for(lambda: len(fixture.events) == 2)
    assert fixture.events == [
        TargetChecked('i-7', is_listening=True),
        TargetChecked('i-7', is_listening=False),
    ]


def test_records_are_read_from_the_store() -> None:
    """Guards against records of other VMs that this VM does not know of."""
    events: list[Event] = []
    subscription = crash_subscription(_KIND, events.append)
    subscription.on_listing(Listing({_NAME: {}, 'unreadable': {}}, 1))
    changes = (
        ObjectChange(_NAME, {}, is_deleted=False),
        ObjectChange('unreadable', {}, is_deleted=False),
        ObjectChange(_NAME, {}, is_deleted=True),
    )
    subscription.on_changes(ObjectChanges(changes, 2))
    assert events == [
        CrashesListed(frozenset((_RECORD,))),
        CrashStored(_RECORD),
        CrashDeleted(_RECORD),
    ]


def test_record_with_a_generation_is_read_back() -> None:
    """Guards against crashes in a row that other VMs take for a single one."""
    record = CrashRecord('0a1b', 'i-7.f', 2, 'shard-4')
    assert read_record(write_record(record)) == record


def test_record_of_a_probe_is_read_back() -> None:
    """Guards against VMs that take the crash of a probe for one of those that have
    led to the restriction, and so send the next probe too early.
    """
    record = CrashRecord('0a1b', 'i~7.f-12', 3, 'shard-4', is_probe=True)
    assert read_record(write_record(record)) == record


def test_record_of_an_older_release_is_read() -> None:
    """Guards against crashes that are forgotten in an upgrade."""
    assert read_record('0a1b.i-7.f') == CrashRecord('0a1b', 'i-7.f')
