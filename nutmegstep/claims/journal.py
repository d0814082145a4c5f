"""Binary form of a claim journal."""

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

__all__ = ['MAX_BYTES', 'ClaimRecord', 'decode_journal', 'encode_journal']

MAX_BYTES: Final = 900_000
"""Size above which a journal takes no more claims."""

_MAGIC: Final = b'NSJ1'
_RECORD: Final = struct.Struct('>16sQQ8s')


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claim of one key.

    Parameters
    ----------
    key : bytes
        The 16 bytes of the idempotency key.
    fingerprint : int
        64-bit hash of the request's content.
    claimer : int
        64-bit incarnation of the entry process that holds the claim.
    nonce : bytes
        8 bytes; identifies the attempt.
    """

    key: bytes
    fingerprint: int
    claimer: int
    nonce: bytes


def encode_journal(records: Iterable[ClaimRecord]) -> bytes:
    """Return the binary form: a format mark and 40 bytes per claim."""
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
    """Return the claims by key, or what is wrong with the document.

    Examples
    --------
    >>> record = ClaimRecord(bytes(16), 7, 1, bytes(8))
    >>> decode_journal(encode_journal([record])).unwrap()[bytes(16)] == record
    True
    >>> decode_journal(b'?').failure()
    'journal of 1 bytes has no NSJ1 mark or a partial record'
    """
    body = document[len(_MAGIC) :]
    if document[: len(_MAGIC)] != _MAGIC or len(body) % _RECORD.size:
        return Failure(
            f'journal of {len(document)} bytes has no {_MAGIC.decode()} mark '
            'or a partial record',
        )
    records = (ClaimRecord(*parts) for parts in _RECORD.iter_unpack(body))
    return Success({record.key: record for record in records})
