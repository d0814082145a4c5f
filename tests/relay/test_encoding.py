"""Encoding and decoding of the bodies that relays send."""

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


def test_decoded_listing_equals_the_original() -> None:
    """Guards against objects that change on the way through a relay."""
    listing = Listing({'a': {'x': 1}, 'b': None}, 7)
    assert decode_listing(encode_listing(listing)) == listing


def test_decoded_changes_equal_the_original() -> None:
    """Guards against deletions that are decoded as changes."""
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
def test_invalid_body_raises_a_documented_error(body: bytes) -> None:
    """Guards against an exception that the reader does not catch, when another
    process answers at the address of a relay.
    """
    with pytest.raises((ValueError, TypeError, KeyError)):
        decode_changes(body)


def _nested(levels: int) -> object:
    document: object = 1
    for _ in range(levels):
        document = [document]
    return document


def test_odd_entry_does_not_hide_the_others() -> None:
    """Guards against a relay that cannot pass on any target while one entry is
    nested more deeply than it can encode.
    """
    documents = {'a': {'slots': 3}, 'odd': _nested(900), 'z': {'slots': 4}}
    listing = decode_listing(encode_listing(Listing(documents, 7)))
    assert listing == Listing({**documents, 'odd': None}, 7)
    changes = tuple(
        ObjectChange(name, document, False)
        for name, document in documents.items()
    )
    decoded = decode_changes(encode_changes(ObjectChanges(changes, 8)))
    assert [one.document for one in decoded.changes] == [
        {'slots': 3},
        None,
        {'slots': 4},
    ]
