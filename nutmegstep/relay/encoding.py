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
    documents = dict(listing.documents_by_name)
    try:
        return _encode_documents(documents, listing.revision)
    except orjson.JSONEncodeError:
        readable = {
            name: _readable(document) for name, document in documents.items()
        }
    return _encode_documents(readable, listing.revision)


def encode_changes(found: ObjectChanges) -> bytes:
    """Encode changes of a kind."""
    changes = [
        (change.name, _readable(change.document), change.is_deleted)
        for change in found.changes
    ]
    document = {'changes': changes, 'revision': found.revision}
    return zlib.compress(orjson.dumps(document), _COMPRESSION_LEVEL)


def _encode_documents(documents: dict[str, object], revision: int) -> bytes:
    document = {'documents': documents, 'revision': revision}
    return zlib.compress(orjson.dumps(document), _COMPRESSION_LEVEL)


def _readable(document: object) -> object:
    """Return a document, or None if it is nested too deeply to be encoded.

    Less deeply nested documents can be encoded than decoded.
    """
    try:
        return orjson.Fragment(orjson.dumps(document))
    except orjson.JSONEncodeError:
        return None


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
