"""Binary format of a claim journal.

A journal is a four-byte header and one record of 40 bytes per claim.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

__all__ = ['MAX_BYTES', 'ClaimRecord', 'decode_journal', 'encode_journal']

MAX_BYTES: Final = 900_000
"""Largest size of a journal in bytes; a write that exceeds it is refused."""

_MAGIC: Final = b'NSJ1'
_RECORD: Final = struct.Struct('>16sQQ8s')


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim of one idempotency key.

    Parameters
    ----------
    key : bytes
        The 16 bytes of the idempotency key.
    fingerprint : int
        64-bit hash of the request's content.
    claimer : int
        64-bit incarnation of the entry process that holds the claim; the
        number is drawn at random when the process starts.
    nonce : bytes
        8 random bytes that identify the attempt.
    """

    key: bytes
    fingerprint: int
    claimer: int
    nonce: bytes


def encode_journal(records: Iterable[ClaimRecord]) -> bytes:
    """Return the binary form of a journal with the given records."""
    packed = (
        _RECORD.pack(
            record.key,
            record.fingerprint,
            record.claimer,
            record.nonce,
        )
        for record in records
    )
    return _MAGIC + b''.join(packed)


def decode_journal(
    document: bytes,
) -> Result[dict[bytes, ClaimRecord], str]:
    """Return the claims by key, or a failure with a description.

    Examples
    --------
    >>> record = ClaimRecord(bytes(16), 7, 1, bytes(8))
    >>> decode_journal(encode_journal([record])).unwrap()[bytes(16)] == record
    True
    >>> decode_journal(b'?').failure()
    'claim journal of 1 bytes has no NSJ1 header or a truncated record'
    """
    body = document[len(_MAGIC) :]
    if document[: len(_MAGIC)] != _MAGIC or len(body) % _RECORD.size:
        return Failure(
            f'claim journal of {len(document)} bytes has no '
            f'{_MAGIC.decode()} header or a truncated record',
        )
    records = (ClaimRecord(*parts) for parts in _RECORD.iter_unpack(body))
    return Success({record.key: record for record in records})
