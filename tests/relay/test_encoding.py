"""Bodies between relays and readers."""

import zlib

import orjson
import pytest

from nutmegstep.relay.encoding import (
    decode_changes,
    decode_listing,
    encode_changes,
    encode_listing,
)
from nutmegstep.store_watch import Listing, ObjectChange, ObjectChanges


def test_listing_survives_the_way() -> None:
    """Guards against objects that neighbours read differently."""
    listing = Listing({'a': {'x': 1}, 'b': None}, 7)
    assert decode_listing(encode_listing(listing)) == listing


def test_changes_survive_the_way() -> None:
    """Guards against deletions that neighbours read as changes."""
    changes = ObjectChanges(
        (ObjectChange('a', {'x': 1}, False), ObjectChange('b', None, True)), 9
    )
    assert decode_changes(encode_changes(changes)) == changes


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{}',
        zlib.compress(b'[]'),
        zlib.compress(b'{"changes": 3, "revision": 1}'),
        zlib.compress(orjson.dumps({'changes': [], 'revision': 1}))[:-6],
    ],
)
def test_unreadable_body_is_a_clear_error(body: bytes) -> None:
    """Guards against a crash when another process owns a relay's address."""
    with pytest.raises((ValueError, TypeError, KeyError)):
        decode_changes(body)
