"""Meaning of the object API's HTTP statuses."""

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
    """Return the failure that a status stands for, None for success.

    Notes
    -----
    A status from 500 on can come from a proxy in front of the platform
    after the write took effect, so such a write may have been applied.

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
