"""Relays that answer, stand still, lag or give up."""

import asyncio
from datetime import timedelta

import pytest
from returns.result import Failure, Result, Success

from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.relay import (
    FallbackReader,
    RelayCache,
    RelayChoice,
    RelayReader,
    RelayServer,
)
from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectChanges,
)
from nutmegstep.web import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    serve_http,
)

_KIND = 'things'
_WAIT = timedelta(seconds=2)
_TIMEOUT = timedelta(milliseconds=200)


class _Store:
    """Reader that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0

    async def list_kind(self, kind: str) -> Result[Listing, PlatformFailure]:
        self.calls += 1
        return Success(Listing({'from': 'store'}, 7))

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait: timedelta,
    ) -> Result[ObjectChanges | HistoryGone, PlatformFailure]:
        self.calls += 1
        return Failure(
            PlatformFailure(PlatformFailureKind.UNREACHABLE, 'store is away'),
        )


class _Relay:
    """A relay on a loopback port."""

    def __init__(self) -> None:
        self.cache = RelayCache()
        self.unavailable = asyncio.Event()
        self.uses_relay = asyncio.Event()
        self.http: HttpServer

    async def start(self) -> str:
        server = RelayServer(
            {_KIND: self.cache}, self.unavailable, self.uses_relay
        )
        self.http = await serve_http(server.answer, '127.0.0.1', 0)
        port = self.http.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'


def _connect(address: str) -> RelayReader:
    host, _, port = address.partition(':')
    return RelayReader(HttpTransport(host, int(port), timeout=_TIMEOUT))


async def _reader_of(relay: _Relay) -> tuple[FallbackReader, _Store]:
    store = _Store()
    reader = FallbackReader(store, _connect)
    reader.use_relays(RelayChoice((await relay.start(),)))
    return reader, store


async def test_relay_saves_the_call() -> None:
    """Guards against priced calls while a relay answers."""
    relay = _Relay()
    relay.cache.replace_all(Listing({'one': {'a': 1}}, 5))
    reader, store = await _reader_of(relay)
    listed = await reader.list_kind(_KIND)
    assert listed == Success(Listing({'one': {'a': 1}}, 5))
    assert store.calls == 0


async def test_change_reaches_a_waiting_watch() -> None:
    """Guards against changes that wait for the next poll."""
    relay = _Relay()
    relay.cache.replace_all(Listing({}, 5))
    reader, _ = await _reader_of(relay)
    watch = asyncio.create_task(reader.watch_kind(_KIND, 5, _WAIT))
    await asyncio.sleep(0.05)
    change = ObjectChange('one', {'a': 2}, is_deleted=False)
    relay.cache.apply_changes(ObjectChanges((change,), 9))
    async with asyncio.timeout(0.3):
        assert await watch == Success(ObjectChanges((change,), 9))


@pytest.mark.parametrize('event', ['unavailable', 'uses_relay'])
async def test_relay_without_contact_is_left(event: str) -> None:
    """Guards against a relay that serves what it cannot keep current."""
    relay = _Relay()
    relay.cache.replace_all(Listing({}, 5))
    reader, store = await _reader_of(relay)
    getattr(relay, event).set()
    assert (await reader.list_kind(_KIND)).unwrap().revision == 7
    assert store.calls == 1
    assert not reader.uses_relay.is_set()


async def test_waiting_watch_ends_when_the_relay_loses_the_store() -> None:
    """Guards against a watch that waits at a relay that is cut off."""
    relay = _Relay()
    relay.cache.replace_all(Listing({}, 5))
    reader, store = await _reader_of(relay)
    watch = asyncio.create_task(reader.watch_kind(_KIND, 5, 10 * _WAIT))
    await asyncio.sleep(0.05)
    relay.unavailable.set()
    async with asyncio.timeout(0.5):
        await watch
    assert store.calls == 1


async def test_other_calls_leave_a_relay_that_failed() -> None:
    """Guards against a call that waits at a frozen relay for its own timeout."""
    relay = _Relay()
    relay.cache.replace_all(Listing({}, 5))
    reader, store = await _reader_of(relay)
    watch = asyncio.create_task(reader.watch_kind(_KIND, 5, 10 * _WAIT))
    await asyncio.sleep(0.05)
    relay.uses_relay.set()
    await reader.list_kind(_KIND)
    async with asyncio.timeout(0.3):
        await watch
    assert store.calls == 2


async def test_unreachable_relay_is_passed_over() -> None:
    """Guards against a lost relay that keeps its neighbours from reading."""
    store = _Store()
    reader = FallbackReader(store, _connect)
    reader.use_relays(RelayChoice(('127.0.0.1:1', '127.0.0.1:2')))
    assert (await reader.list_kind(_KIND)).unwrap().revision == 7


async def test_relays_are_tried_again_after_a_fallback(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against VMs that stay at the store after one failure."""
    monkeypatch.setattr('nutmegstep.relay.fallback._RELAY_RETRY_DELAY_S', 0.1)
    relay = _Relay()
    relay.cache.replace_all(Listing({}, 5))
    reader, store = await _reader_of(relay)
    relay.unavailable.set()
    await reader.list_kind(_KIND)
    relay.unavailable.clear()
    assert (await reader.list_kind(_KIND)).unwrap().revision == 7
    await asyncio.sleep(0.15)
    assert (await reader.list_kind(_KIND)).unwrap().revision == 5
    assert store.calls == 2


def test_watch_before_the_log_starts_is_gone() -> None:
    """Guards against changes that a new relay has never seen."""
    cache = RelayCache()
    cache.replace_all(Listing({}, 5))
    assert cache.changes_after(4) == HistoryGone()
    assert cache.changes_after(5) == ObjectChanges((), 5)


def test_reader_ahead_of_the_relay_keeps_its_revision() -> None:
    """Guards against a revision that goes back when readers change."""
    cache = RelayCache()
    cache.replace_all(Listing({}, 5))
    assert cache.changes_after(9) == ObjectChanges((), 9)


@pytest.mark.parametrize('body', [b'', b'[]', b'{"documents": 5}', b'text'])
async def test_other_process_at_a_relay_address_is_left(body: bytes) -> None:
    """Guards against replies of a process that took over the address."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, body)

    http = await serve_http(answer, '127.0.0.1', 0)
    store = _Store()
    reader = FallbackReader(store, _connect)
    port = http.sockets[0].getsockname()[1]
    reader.use_relays(RelayChoice((f'127.0.0.1:{port}',)))
    assert (await reader.list_kind(_KIND)).unwrap().revision == 7
    http.close()
