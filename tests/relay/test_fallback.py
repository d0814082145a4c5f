"""Relays that answer, hang, lag behind or no longer watch the store."""

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
    """Client of the store that counts its calls; watches fail."""

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
            PlatformFailure(
                PlatformFailureKind.UNREACHABLE, 'store is unavailable'
            ),
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


async def test_store_is_not_called_while_a_relay_answers() -> None:
    """Guards against calls to the store, which are charged for, while a relay
    answers.
    """
    relay = _Relay()
    relay.cache.replace_all(Listing({'one': {'a': 1}}, 5))
    reader, store = await _reader_of(relay)
    listed = await reader.list_kind(_KIND)
    assert listed == Success(Listing({'one': {'a': 1}}, 5))
    assert store.calls == 0


async def test_change_ends_an_open_watch() -> None:
    """Guards against a change that a relay returns only at the end of the wait
    of a watch.
    """
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
async def test_relay_that_does_not_watch_the_store_is_not_used(
    event: str,
) -> None:
    """Guards against reading outdated objects from a relay for which the store
    is unavailable, or which reads from a relay itself.
    """
    relay = _Relay()
    relay.cache.replace_all(Listing({}, 5))
    reader, store = await _reader_of(relay)
    getattr(relay, event).set()
    assert (await reader.list_kind(_KIND)).unwrap().revision == 7
    assert store.calls == 1
    assert not reader.uses_relay.is_set()


async def test_open_watch_ends_when_the_relay_loses_the_store() -> None:
    """Guards against a watch that stays open at a relay for which the store has
    become unavailable.
    """
    relay = _Relay()
    relay.cache.replace_all(Listing({}, 5))
    reader, store = await _reader_of(relay)
    watch = asyncio.create_task(reader.watch_kind(_KIND, 5, 10 * _WAIT))
    await asyncio.sleep(0.05)
    relay.unavailable.set()
    async with asyncio.timeout(0.5):
        await watch
    assert store.calls == 1


async def test_failure_of_a_relay_ends_its_other_calls() -> None:
    """Guards against a call that waits for its own time-out at a relay at which
    another call has already failed.
    """
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


async def test_unreachable_relays_are_skipped() -> None:
    """Guards against a VM that reads nothing when its relays do not answer."""
    store = _Store()
    reader = FallbackReader(store, _connect)
    reader.use_relays(RelayChoice(('127.0.0.1:1', '127.0.0.1:2')))
    assert (await reader.list_kind(_KIND)).unwrap().revision == 7


async def test_relays_are_tried_again_after_a_fallback(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a VM that goes on reading the store, which is charged for,
    after one failure of its relays.
    """
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


def test_watch_before_the_listing_has_no_history() -> None:
    """Guards against skipping changes that were made before a new relay listed
    the objects, and that it has not read.
    """
    cache = RelayCache()
    cache.replace_all(Listing({}, 5))
    assert cache.changes_after(4) == HistoryGone()
    assert cache.changes_after(5) == ObjectChanges((), 5)


def test_reader_ahead_of_the_relay_keeps_its_revision() -> None:
    """Guards against a revision that decreases when a VM changes to a relay
    that lags behind.
    """
    cache = RelayCache()
    cache.replace_all(Listing({}, 5))
    assert cache.changes_after(9) == ObjectChanges((), 9)


@pytest.mark.parametrize('body', [b'', b'[]', b'{"documents": 5}', b'text'])
async def test_reply_of_another_process_is_rejected(body: bytes) -> None:
    """Guards against reading objects from another process that took over the
    address of a relay.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, body)

    http = await serve_http(answer, '127.0.0.1', 0)
    store = _Store()
    reader = FallbackReader(store, _connect)
    port = http.sockets[0].getsockname()[1]
    reader.use_relays(RelayChoice((f'127.0.0.1:{port}',)))
    assert (await reader.list_kind(_KIND)).unwrap().revision == 7
    http.close()
