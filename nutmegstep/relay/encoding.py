"""Encoding of the bodies that a relay sends to the VMs that read from it.

They are compressed: each change of a large configuration is sent to all VMs of
the failure domain, and the link of a small VM carries 10 Mbit/s.
"""

import zlib
from typing import Any, Final

import orjson

from nutmegstep.store_watch import Listing, ObjectChange, ObjectChanges

__all__ = [
    'OBJECTS_PATH',
    'decode_changes',
    'decode_listing',
    'encode_changes',
    'encode_listing',
]

OBJECTS_PATH: Final = '/objects/'
"""Start of the URL paths of a relay; the kind of objects follows. Relays of
earlier versions, whose revisions lack the era, use another one."""
_COMPRESSION_LEVEL: Final = 1
"""Fastest level; higher levels save a tenth of the bytes in twice the time."""
_MAX_DECODED_BYTES: Final = 64 * 2**20
"""Largest decoded body; a listing of 23,000 targets takes a tenth of it."""


def encode_listing(listing: Listing) -> bytes:
    """Encode all objects of a kind."""
    document = {
        'documents': dict(listing.documents_by_name),
        'revision': listing.revision,
    }
    return zlib.compress(orjson.dumps(document), _COMPRESSION_LEVEL)


def encode_changes(found: ObjectChanges) -> bytes:
    """Encode changes of a kind."""
    changes = [
        (change.name, change.document, change.is_deleted)
        for change in found.changes
    ]
    document = {'changes': changes, 'revision': found.revision}
    return zlib.compress(orjson.dumps(document), _COMPRESSION_LEVEL)


def decode_listing(body: bytes) -> Listing:
    """Decode all objects of a kind.

    Raises
    ------
    ValueError, TypeError, KeyError
        If the body was not encoded by `encode_listing`.
    """
    document = _decode(body)
    return Listing(dict(document['documents']), int(document['revision']))


def decode_changes(body: bytes) -> ObjectChanges:
    """Decode changes of a kind.

    Raises
    ------
    ValueError, TypeError, KeyError
        If the body was not encoded by `encode_changes`.
    """
    document = _decode(body)
    return ObjectChanges(
        tuple(ObjectChange(*change) for change in document['changes']),
        int(document['revision']),
    )


def _decode(body: bytes) -> Any:
    decoder = zlib.decompressobj()
    try:
        content = decoder.decompress(body, _MAX_DECODED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decoder.eof:
        raise ValueError(
            'compressed body is truncated, or too long when decoded'
        )
    return orjson.loads(content)
