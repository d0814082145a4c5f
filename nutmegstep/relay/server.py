"""HTTP interface of a relay for the other VMs of its failure domain."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from nutmegstep.relay.cache import RelayCache
from nutmegstep.relay.encoding import (
    OBJECTS_PATH,
    encode_changes,
    encode_listing,
)
from nutmegstep.store_watch import HistoryGone, ObjectChanges
from nutmegstep.store_watch.waiting import wait_any
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['RelayServer']

_MAX_WAIT_S: Final = 5.0
"""Longest wait of a watch."""
_CONTENT_TYPE: Final = 'application/zlib'
_NOT_SERVING: Final = HttpResponse(503, b'{}')
_HISTORY_GONE: Final = HttpResponse(410, b'{}')
_UNKNOWN_KIND: Final = HttpResponse(404, b'{}')
_MAX_CACHED_RESPONSES: Final = 16
"""Most encoded responses of the latest revision that are kept for a kind. All VMs
request the same changes within milliseconds; some lag behind by a few revisions."""

_RevisionRange = tuple[int | None, int]
"""First and last revision of a response; the first is None for a listing."""
_ResponseByRange = dict[_RevisionRange, HttpResponse]


class RelayServer:
    """Answers listings and watches from the objects that this VM keeps.

    A VM that reads from a relay itself, or for which the store is unavailable,
    answers 503, so that its neighbours read from elsewhere.

    Parameters
    ----------
    cache_by_kind : Mapping
        Objects to serve, by their kind.
    unavailable : asyncio.Event
        Set while the store does not answer.
    uses_relay : asyncio.Event
        Set while this VM reads from a relay itself.
    """

    def __init__(
        self,
        cache_by_kind: Mapping[str, RelayCache],
        unavailable: asyncio.Event,
        uses_relay: asyncio.Event,
    ) -> None:
        self._cache_by_kind = cache_by_kind
        self._unavailable = unavailable
        self._uses_relay = uses_relay
        self._responses_by_cache: dict[RelayCache, _ResponseByRange] = {}

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer ``GET /objects/KIND``, which lists or watches a kind.

        The query parameter ``watch`` is the revision from which to watch, and
        ``wait_s`` the longest wait in seconds.
        """
        kind = request.path.removeprefix(OBJECTS_PATH)
        cache = self._cache_by_kind.get(kind)
        if cache is None:
            return _UNKNOWN_KIND
        if not self._is_serving():
            return _NOT_SERVING
        revision = request.query.get('watch', '')
        if not revision.isdigit():
            return self._list(cache)
        wait = _read_wait(request.query.get('wait_s', ''))
        return await self._watch(cache, int(revision), wait)

    async def _watch(
        self,
        cache: RelayCache,
        revision: int,
        wait: float,
    ) -> HttpResponse:
        found = cache.changes_after(revision)
        if isinstance(found, ObjectChanges) and not found.changes:
            await wait_any((), (cache.changed, self._unavailable), wait)
            found = cache.changes_after(revision)
        if not self._is_serving():
            return _NOT_SERVING
        if isinstance(found, HistoryGone):
            return _HISTORY_GONE
        return self._cached_response(
            cache,
            (revision, found.revision),
            lambda: encode_changes(found),
        )

    def _list(self, cache: RelayCache) -> HttpResponse:
        listing = cache.listing()
        if listing is None:
            return _NOT_SERVING
        return self._cached_response(
            cache,
            (None, listing.revision),
            lambda: encode_listing(listing),
        )

    def _cached_response(
        self,
        cache: RelayCache,
        revisions: _RevisionRange,
        encode: Callable[[], bytes],
    ) -> HttpResponse:
        """Return the response for a range of revisions, encoding it once."""
        responses = {
            known: response
            for known, response in self._responses_by_cache.get(
                cache, {}
            ).items()
            if known[1] >= cache.revision
        }
        self._responses_by_cache[cache] = responses
        response = responses.get(revisions)
        if response is None:
            response = HttpResponse(200, encode(), content_type=_CONTENT_TYPE)
            if len(responses) == _MAX_CACHED_RESPONSES:
                responses.pop(next(iter(responses)))
            responses[revisions] = response
        return response

    def _is_serving(self) -> bool:
        return not (self._unavailable.is_set() or self._uses_relay.is_set())


def _read_wait(text: str) -> float:
    try:
        return min(max(float(text), 0), _MAX_WAIT_S)
    except ValueError:
        return _MAX_WAIT_S
