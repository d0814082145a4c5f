"""Serves what a relay holds to the VMs of its failure domain."""

import asyncio
from collections.abc import Mapping
from typing import Final

import orjson

from nutmegstep.following import Changes, HistoryGone, Listing
from nutmegstep.relay.cache import RelayCache
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['RelayServer']

_WAIT_MAX: Final = 5.0
"""Longest wait of a watch in seconds."""
_NOT_A_RELAY: Final = HttpResponse(503, b'{}')
_GONE: Final = HttpResponse(410, b'{}')
_UNKNOWN: Final = HttpResponse(404, b'{}')


class RelayServer:
    """Answers listings and watches.

    A VM that reads from a relay itself, or whose contact with the store is
    lost, answers 503, so that its neighbours turn to another one.

    Parameters
    ----------
    cache_by_kind : Mapping
        What is served.
    lost : asyncio.Event
        Set while the store does not answer.
    on_relay : asyncio.Event
        Set while this VM reads from a relay itself.
    """

    def __init__(
        self,
        cache_by_kind: Mapping[str, RelayCache],
        lost: asyncio.Event,
        on_relay: asyncio.Event,
    ) -> None:
        self._cache_by_kind = cache_by_kind
        self._lost = lost
        self._on_relay = on_relay

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /kinds/KIND``, with ``watch`` and ``wait_s``."""
        cache = self._cache_by_kind.get(request.path.removeprefix('/kinds/'))
        if cache is None:
            return _UNKNOWN
        if not self._is_serving():
            return _NOT_A_RELAY
        revision = request.query.get('watch', '')
        if not revision.isdigit():
            return _write_listing(cache.listing())
        wait = _read_wait(request.query.get('wait_s', ''))
        return await self._watch(cache, int(revision), wait)

    async def _watch(
        self,
        cache: RelayCache,
        revision: int,
        wait: float,
    ) -> HttpResponse:
        found = cache.changes_after(revision)
        if isinstance(found, Changes) and not found.changes:
            await _wait_for_any((cache.changed, self._lost), wait)
            found = cache.changes_after(revision)
        if not self._is_serving():
            return _NOT_A_RELAY
        if isinstance(found, HistoryGone):
            return _GONE
        return _write_changes(found)

    def _is_serving(self) -> bool:
        return not (self._lost.is_set() or self._on_relay.is_set())


async def _wait_for_any(
    events: tuple[asyncio.Event, ...],
    seconds: float,
) -> None:
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(
            waits,
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for wait in waits:
            wait.cancel()


def _read_wait(text: str) -> float:
    try:
        return min(max(float(text), 0), _WAIT_MAX)
    except ValueError:
        return _WAIT_MAX


def _write_listing(listing: Listing | None) -> HttpResponse:
    if listing is None:
        return _NOT_A_RELAY
    document = {
        'documents': dict(listing.documents_by_name),
        'revision': listing.revision,
    }
    return HttpResponse(200, orjson.dumps(document))


def _write_changes(found: Changes) -> HttpResponse:
    changes = [
        (change.name, change.document, change.is_deleted)
        for change in found.changes
    ]
    document = {'changes': changes, 'revision': found.revision}
    return HttpResponse(200, orjson.dumps(document))
