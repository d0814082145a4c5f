"""Status codes of responses that are read."""

from typing import Final

import h11

__all__ = ['check_status']

_MAX_STATUS: Final = 599
"""Greatest status code of RFC 9110, section 15. The parser accepts up to 999, and
rejects those below 100 itself."""


def check_status(event: object) -> None:
    """Reject the head of a response whose status code HTTP does not define.

    Raises
    ------
    h11.RemoteProtocolError
        The status code belongs to no class.
    """
    if isinstance(event, h11.Response) and event.status_code > _MAX_STATUS:
        raise h11.RemoteProtocolError(f'status {event.status_code}')
