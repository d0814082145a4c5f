"""Merging of parts into one answer."""

from collections.abc import Iterable
from itertools import chain
from typing import Final

__all__ = ['RECORD_BYTES', 'merge_records']

RECORD_BYTES: Final = 16
"""Size of a record; a shorter remainder of a part is not a record."""


def merge_records(parts: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Parameters
    ----------
    parts : iterable of bytes
        Bodies of the parts; records in no order.
    top : int
        Most records of the result. Equal records all count.

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
