"""Converts HTTP status codes of the object API to failures."""

from types import MappingProxyType
from typing import Final

from nutmegstep.platform_api.records import (
    PlatformFailure,
    PlatformFailureKind,
)

__all__ = ['failure_of_status']

_LOWEST_ERROR: Final = 300
_LOWEST_SERVER_ERROR: Final = 500
_KIND_BY_STATUS: Final = MappingProxyType(
    {
        404: PlatformFailureKind.NOT_FOUND,
        412: PlatformFailureKind.CONFLICT,
        413: PlatformFailureKind.TOO_LARGE,
        429: PlatformFailureKind.UNAVAILABLE,
    }
)


def failure_of_status(
    status: int,
    call: str,
    *,
    is_write: bool,
) -> PlatformFailure | None:
    """Return the failure for a status code, or None for success.

    Parameters
    ----------
    status : int
        HTTP status code of the reply.
    call : str
        Method and path for the description of the failure.
    is_write : bool
        Whether the call is a write.

    Notes
    -----
    A write that fails with a status of 500 or above may have been applied: a
    proxy in front of the platform can send such a status after the platform
    has applied the write.

    Examples
    --------
    >>> failure_of_status(200, 'GET /vms', is_write=False) is None
    True
    >>> failure_of_status(503, 'PUT /objects/a', is_write=True).may_have_applied
    True
    >>> failure_of_status(412, 'PUT /objects/a', is_write=True).may_have_applied
    False
    """
    if status < _LOWEST_ERROR:
        return None
    detail = f'{call}: status {status}'
    if status >= _LOWEST_SERVER_ERROR:
        kind = PlatformFailureKind.UNAVAILABLE
        return PlatformFailure(kind, detail, may_have_applied=is_write)
    kind = _KIND_BY_STATUS.get(status, PlatformFailureKind.REJECTED)
    return PlatformFailure(kind, detail)
