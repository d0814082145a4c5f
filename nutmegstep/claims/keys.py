"""Checks of idempotency keys, and the journal in which a key is claimed.

A key is a UUID version 7 (RFC 9562); the timestamp in it selects the journal
and decides when the key expires.
"""

from datetime import UTC, datetime, timedelta
from typing import Final
from uuid import UUID

import xxhash

from nutmegstep.model import OneShotRequest
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = [
    'BUCKET',
    'RETENTION',
    'check_key',
    'expired_journals',
    'fingerprint',
    'journal_name',
    'key_timestamp',
]

BUCKET: Final = timedelta(minutes=10)
"""Span of key timestamps that share one group of journals, a bucket."""

RETENTION: Final = timedelta(hours=24)
"""Age of a key above which requests with it are refused."""

_FUTURE_TOLERANCE: Final = timedelta(seconds=60)
_DELETE_MARGIN: Final = BUCKET
_JOURNALS_PER_BUCKET: Final = 32
_UUID_VERSION: Final = 7
_TIMESTAMP_SHIFT: Final = 80
_MS_PER_SECOND: Final = 1000


def key_timestamp(key: UUID) -> datetime:
    """Return the timestamp of a UUID version 7.

    Examples
    --------
    >>> key_timestamp(UUID('017f22e2-79b0-7cc3-98c4-dc0c0c07398f')).isoformat()
    '2022-02-22T19:22:22+00:00'
    """
    seconds = (key.int >> _TIMESTAMP_SHIFT) / _MS_PER_SECOND
    return datetime.fromtimestamp(seconds, UTC)


def check_key(key: UUID, now: datetime) -> Refusal | None:
    """Return the refusal of a key that must not be claimed, else None.

    Parameters
    ----------
    key : uuid.UUID
        Key of the request.
    now : datetime.datetime
        Current time in UTC. The clocks of the VMs are assumed to agree
        within 60 s.

    Returns
    -------
    Refusal or None
        For a key older than `RETENTION` the verdict is that the request may
        have run, because the journal that would show it may be deleted. For
        a malformed key the verdict is that the request did not run, because
        every VM refuses such a key.
    """
    if key.version != _UUID_VERSION:
        return refuse(
            Verdict.NOT_RUN,
            Reason.KEY_INVALID,
            f'Idempotency-Key is a UUID version {key.version}; '
            f'version {_UUID_VERSION} is required',
        )
    age = now - key_timestamp(key)
    if age > RETENTION:
        return refuse(
            Verdict.MAY_HAVE_RUN,
            Reason.KEY_EXPIRED,
            f'the timestamp of the Idempotency-Key is older than {RETENTION}',
            attempt_verdict=Verdict.NOT_RUN,
        )
    if -age > _FUTURE_TOLERANCE:
        return refuse(
            Verdict.NOT_RUN,
            Reason.KEY_INVALID,
            f'the timestamp of the Idempotency-Key is {-age} in the future; '
            f'at most {_FUTURE_TOLERANCE} is allowed',
        )
    return None


def journal_name(key: UUID) -> str:
    """Return the name of the platform object that holds the key's claim.

    Examples
    --------
    >>> journal_name(UUID('017f22e2-79b0-7cc3-98c4-dc0c0c07398f'))
    'claims/2742596/23'
    """
    bucket = _bucket(key_timestamp(key))
    partition = xxhash.xxh3_64_intdigest(key.bytes) % _JOURNALS_PER_BUCKET
    return f'claims/{bucket}/{partition}'


def expired_journals(now: datetime) -> list[str]:
    """Return the names of the journals of the newest bucket to delete.

    Notes
    -----
    A bucket is deleted one bucket length after its last key has expired.
    Otherwise a VM whose clock is behind could still accept a key of a bucket
    that another VM has deleted.
    """
    bucket = _bucket(now - RETENTION - _DELETE_MARGIN) - 1
    return [
        f'claims/{bucket}/{partition}'
        for partition in range(_JOURNALS_PER_BUCKET)
    ]


def fingerprint(request: OneShotRequest) -> int:
    """Return a 64-bit hash of the service, record key and body of a request.

    Notes
    -----
    A request whose key was used before with another fingerprint is refused:
    the stored answer would belong to a different request.
    """
    digest = xxhash.xxh3_64()
    for part in (request.service.encode(), request.record_key.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(request.body)
    return digest.intdigest()


def _bucket(date: datetime) -> int:
    return int(date.timestamp() // BUCKET.total_seconds())
