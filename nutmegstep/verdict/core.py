"""Refusals with a verdict, a reason and a retry time."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType
from typing import Final

__all__ = [
    'Reason',
    'Refusal',
    'Verdict',
    'http_status',
    'refusal_status',
    'refuse',
]


@enum.unique
class Verdict(enum.Enum):
    """Whether any attempt of a request may have run on a target."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


@enum.unique
class Reason(enum.Enum):
    """Why a request was refused; the values are sent to callers."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_KEY = 'unknown_key'
    NO_TARGET = 'no_target'
    NO_CONFIGURATION = 'no_configuration'
    OVERLOADED = 'overloaded'
    OVER_LIMIT = 'over_limit'
    LIMIT_UNKNOWN = 'limit_unknown'
    DRAINING = 'draining'
    DOMAIN_WITHDRAWN = 'domain_withdrawn'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    INCOMPLETE = 'incomplete'
    SNAPSHOT_UNAVAILABLE = 'snapshot_unavailable'
    TARGET_FAILED = 'target_failed'
    CRASHES_TARGETS = 'crashes_targets'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    ALREADY_CLAIMED = 'already_claimed'
    KEY_EXPIRED = 'key_expired'
    KEY_INVALID = 'key_invalid'
    KEY_REUSED = 'key_reused'
    CALLER_GONE = 'caller_gone'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request.

    Parameters
    ----------
    verdict : Verdict
        Covers every attempt of the request, not only the latest one.
    reason : Reason
        Why the request was refused.
    retry_after : datetime.timedelta
        Time after which the caller may retry.
    detail : str
        One sentence for operators and callers; must not contain request
        bodies or keys.
    attempt_verdict : Verdict
        Covers this request alone, not earlier ones with the same idempotency
        key.
    """

    verdict: Verdict
    reason: Reason
    retry_after: timedelta
    detail: str
    attempt_verdict: Verdict


_DEFAULT_RETRY_AFTER: Final = timedelta(milliseconds=200)

_STATUS_BY_REASON: Final = MappingProxyType(
    {
        Reason.BAD_REQUEST: 400,
        Reason.KEY_INVALID: 400,
        Reason.UNKNOWN_KEY: 401,
        Reason.UNKNOWN_SERVICE: 404,
        Reason.UNKNOWN_ROUTE: 404,
        Reason.ALREADY_CLAIMED: 409,
        Reason.KEY_EXPIRED: 409,
        Reason.KEY_REUSED: 409,
        Reason.TOO_LARGE: 413,
        Reason.OVERLOADED: 429,
        Reason.OVER_LIMIT: 429,
        Reason.DEADLINE_EXCEEDED: 504,
    }
)
_DEFAULT_STATUS: Final = 503
_PROMISES: Final = frozenset((429, 503))
"""Statuses of refusals that callers take for a promise that nothing has run."""
_STATUS_MAY_HAVE_RUN: Final = 502


def http_status(reason: Reason) -> int:
    """Return the HTTP status code of a refusal.

    Examples
    --------
    >>> http_status(Reason.OVERLOADED)
    429
    >>> http_status(Reason.DRAINING)
    503
    """
    return _STATUS_BY_REASON.get(reason, _DEFAULT_STATUS)


def refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status code of a refusal, which promises nothing untrue.

    Examples
    --------
    >>> refusal_status(refuse(Verdict.MAY_HAVE_RUN, Reason.OVERLOADED, 'late'))
    502
    >>> refusal_status(refuse(Verdict.NOT_RUN, Reason.OVERLOADED, 'full'))
    429
    """
    status = http_status(refusal.reason)
    if refusal.attempt_verdict is Verdict.NOT_RUN or status not in _PROMISES:
        return status
    return _STATUS_MAY_HAVE_RUN


def refuse(
    verdict: Verdict,
    reason: Reason,
    detail: str,
    *,
    retry_after: timedelta = _DEFAULT_RETRY_AFTER,
    attempt_verdict: Verdict | None = None,
) -> Refusal:
    """Build a refusal.

    Parameters
    ----------
    verdict : Verdict
        Covers every attempt of the request.
    reason : Reason
        Why the request is refused.
    detail : str
        One sentence for operators and callers.
    retry_after : datetime.timedelta, optional
        Time after which the caller may retry; 200 ms by default.
    attempt_verdict : Verdict, optional
        Covers this request alone; the same as `verdict` by default.

    Returns
    -------
    Refusal
        The refusal.

    Examples
    --------
    >>> refuse(Verdict.NOT_RUN, Reason.OVERLOADED, 'queue is full').reason
    <Reason.OVERLOADED: 'overloaded'>
    """
    return Refusal(
        verdict,
        reason,
        retry_after,
        detail,
        attempt_verdict or verdict,
    )
