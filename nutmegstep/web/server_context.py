"""The server as the cycles of its connections see it."""

from typing import Protocol

from nutmegstep.web.messages import (
    ErrorResponseBuilder,
    Handler,
    HeadFilter,
    HttpLimits,
)
from nutmegstep.web.turns import TurnQueue

__all__ = ['ServerContext']


class ServerContext(Protocol):
    """Handler, limits and state of the server, as a request cycle sees them."""

    handler: Handler
    limits: HttpLimits
    head_filter: HeadFilter
    error_response: ErrorResponseBuilder
    draining: bool
    id_header: bytes

    @property
    def turns(self) -> TurnQueue:
        """Connections with received bytes that are not parsed yet."""
