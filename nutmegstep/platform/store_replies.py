"""Checks and decodes the replies of the operators' object store."""

from collections.abc import Callable
from typing import Any, Final, TypeVar

from returns.result import Failure, Result, Success

from nutmegstep.platform.lenient_json import decode_leniently
from nutmegstep.platform_api.connection import HttpCall, HttpReply
from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)

__all__ = ['check_status', 'decode_reply', 'era_of_reply', 'is_success']

_ERA_HEADER: Final = 'store-era'
"""Response header with the number of times that the store has been restored
from a copy."""
_STATUS_OK: Final = 200
_STATUS_MULTIPLE_CHOICES: Final = 300
_RESULT_STATUSES: Final = frozenset((404, 409, 410))

_Decoded = TypeVar('_Decoded')


def is_success(reply: HttpReply) -> bool:
    """Return whether the status is 2xx."""
    return _STATUS_OK <= reply.status < _STATUS_MULTIPLE_CHOICES


def era_of_reply(reply: HttpReply) -> int:
    """Return how often the store had been restored from a copy."""
    text = reply.header_by_name.get(_ERA_HEADER, '')
    return int(text) if text.isdecimal() else 0


def check_status(
    http: HttpCall,
    reply: HttpReply,
) -> Result[HttpReply, PlatformFailure]:
    """Return a reply whose status the caller handles, or a failure.

    The statuses 404, 409 and 410 are results, not failures.
    """
    if is_success(reply):
        return Success(reply)
    if reply.status in _RESULT_STATUSES:
        return Success(reply)
    detail = f'{http.method} {http.path}: status {reply.status}'
    return Failure(PlatformFailure(PlatformFailureKind.UNAVAILABLE, detail))


def decode_reply(
    read: Callable[[Any, int], _Decoded],
    reply: HttpReply,
) -> Result[_Decoded, PlatformFailure]:
    """Decode a reply, or return why it is malformed.

    Parameters
    ----------
    read : Callable
        Takes the decoded document and the era of the store.
    reply : HttpReply
        The reply.
    """
    try:
        return Success(read(decode_leniently(reply.body), era_of_reply(reply)))
    except (KeyError, TypeError, ValueError) as error:
        detail = f'malformed reply: {error!r}'
        return Failure(
            PlatformFailure(PlatformFailureKind.INVALID_REPLY, detail),
        )
