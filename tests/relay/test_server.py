"""Size and encoding of the responses of a relay."""

import asyncio
import tracemalloc
from random import Random

from nutmegstep.relay import RelayCache, RelayServer
from nutmegstep.relay.encoding import OBJECTS_PATH
from nutmegstep.store_watch import Listing, ObjectChange, ObjectChanges
from nutmegstep.web import HttpRequest

_KIND = 'configurations'
_LINK_BITS_PER_SECOND = 10e6
_READERS = 22
_CHANGES_PER_SECOND = 3.6
_SERVICES = 98
_DOCUMENT_BYTES = 100_000


def _document(version: int) -> dict[str, object]:
    """Return a configuration of 98 services, which differ in their names."""
    random = Random(1)
    names = [f's-{random.getrandbits(32):08x}' for _ in range(_SERVICES)]
    services = {
        name: {
            'max_connections': 64,
            'cold_s': 3,
            'cold_per_s': 8,
            'health_path': '/health',
        }
        for name in names
    }
    return {'version': version, 'services': services, 'gather': names}


def _relay(cache: RelayCache) -> RelayServer:
    return RelayServer({_KIND: cache}, asyncio.Event(), asyncio.Event())


async def _watch(relay: RelayServer, revision: int) -> bytes:
    query = {'watch': str(revision), 'wait_s': '0'}
    request = HttpRequest('GET', f'{OBJECTS_PATH}{_KIND}', query, {}, b'')
    return (await relay.answer(request)).body


async def test_burst_of_configurations_fits_a_small_link() -> None:
    """Guards against responses of a relay that saturate the link of a small VM,
    so that the queries it serves wait behind them.
    """
    cache = RelayCache()
    cache.replace_all(Listing({'main': _document(1)}, 1))
    cache.apply_changes(
        ObjectChanges((ObjectChange('main', _document(2), False),), 2)
    )
    body = await _watch(_relay(cache), 1)
    bits = len(body) * 8 * _READERS * _CHANGES_PER_SECOND
    assert bits < _LINK_BITS_PER_SECOND / 10


async def test_late_reader_gets_the_latest_change_only() -> None:
    """Guards against sending a reader that lags behind all versions of an
    object, of which it needs only the latest.
    """
    cache = RelayCache()
    cache.replace_all(Listing({'main': _document(1)}, 1))
    for version in range(2, 9):
        change = ObjectChange('main', _document(version), False)
        cache.apply_changes(ObjectChanges((change,), version))
    found = cache.changes_after(1)
    assert isinstance(found, ObjectChanges)
    assert [change.document for change in found.changes] == [_document(8)]
    assert found.revision == 8


async def test_change_is_encoded_once_for_all_readers() -> None:
    """Guards against a relay that takes up its CPU by encoding the same
    response for each reader.
    """
    cache = RelayCache()
    cache.replace_all(Listing({'main': _document(1)}, 1))
    cache.apply_changes(
        ObjectChanges((ObjectChange('main', _document(2), False),), 2)
    )
    relay = _relay(cache)
    assert await _watch(relay, 1) is await _watch(relay, 1)


async def test_responses_of_earlier_revisions_are_not_kept() -> None:
    """Guards against a relay whose memory fills up with responses that no reader
    asks for any more, after many versions of a large configuration.
    """
    random = Random(1)
    cache = RelayCache()
    cache.replace_all(Listing({}, 1))
    relay = _relay(cache)
    tracemalloc.start()
    for version in range(2, 22):
        # Random text is as large after its compression as half of it.
        document = random.randbytes(_DOCUMENT_BYTES).hex()
        change = ObjectChange('main', document, False)
        cache.apply_changes(ObjectChanges((change,), version))
        del change, document
        assert len(await _watch(relay, version - 1)) > _DOCUMENT_BYTES
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The document has two characters a byte, its response about one.
    assert used < 2 * 3 * _DOCUMENT_BYTES
