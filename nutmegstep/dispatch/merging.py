"""Merging of the replies of several shards into one answer."""

import heapq
from collections.abc import Iterable
from itertools import chain
from typing import Final

__all__ = ['RECORD_BYTES', 'merge_records', 'shorten_part']

RECORD_BYTES: Final = 16
"""Size of a record; a shorter remainder at the end of a body is ignored."""

_LONG_PART_BYTES: Final = 16 * 1024
"""Length from which the records of a part that cannot be in an answer are dropped
as it arrives. Sorting shorter parts together costs less."""


def merge_records(parts: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of all replies, greatest first.

    Records are compared byte by byte.

    Parameters
    ----------
    parts : iterable of bytes
        Bodies of the replies, each a sequence of records in any order.
    top : int
        Maximum number of records to return. Equal records are all kept.

    Returns
    -------
    bytes
        Concatenated records.

    Examples
    --------
    >>> merge_records([b'a' * 16 + b'c' * 16, b'b' * 20], 2)[::16]
    b'cb'
    """
    records = list(chain.from_iterable(_split(part) for part in parts))
    records.sort(reverse=True)
    return b''.join(records[:top])


def shorten_part(part: bytes, top: int) -> bytes:
    """Return a part, without the records that no answer contains if it is long.

    The work and the memory that one target causes with a long part are then not
    added to those of the others when the parts are merged.

    Parameters
    ----------
    part : bytes
        Body of a reply.
    top : int
        Number of records in an answer.

    Examples
    --------
    >>> len(shorten_part(b'a' * 160_000, 5))
    80
    """
    if len(part) <= _LONG_PART_BYTES:
        return part
    return b''.join(heapq.nlargest(top, _split(part)))


def _split(part: bytes) -> list[bytes]:
    whole = len(part) - len(part) % RECORD_BYTES
    return [
        part[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]
