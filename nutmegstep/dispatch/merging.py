"""Merging of the replies of several shards into one answer."""

from collections.abc import Iterable
from itertools import chain
from typing import Final

__all__ = ['RECORD_BYTES', 'merge_records']

RECORD_BYTES: Final = 16
"""Size of a record; a shorter remainder at the end of a body is ignored."""


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


def _split(part: bytes) -> list[bytes]:
    whole = len(part) - len(part) % RECORD_BYTES
    return [
        part[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]
