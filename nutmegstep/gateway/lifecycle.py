"""Stops a gateway without cutting requests."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from nutmegstep.web import HttpServer

__all__ = ['drain']

_LOG: Final = logging.getLogger(__name__)
_BALANCER_DELAY_S: Final = 2.6
"""Seconds until the balancer sends no new connections: it needs two misses,
asks once a second, and a connection may be under way."""
_CLOSE_IDLE_BEFORE_END_S: Final = 1.4
"""Seconds before the end of the grace period at which idle connections are
closed; callers that are slow to see it lose no request."""
_GIVE_UP_BEFORE_END_S: Final = 0.35
"""Seconds before the end of the grace period at which waiting ends."""
_POLL_INTERVAL_S: Final = 0.1


async def drain(
    server: HttpServer,
    open_requests: Callable[[], int],
    grace: timedelta,
) -> bool:
    """Answer what arrives until callers are gone or the grace period ends.

    Parameters
    ----------
    server : HttpServer
        The callers' port.
    open_requests : Callable
        Returns the number of requests in flight.
    grace : datetime.timedelta
        Time until the process is killed.

    Returns
    -------
    bool
        Whether every request was answered.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    closes_at = started + grace.total_seconds() - _CLOSE_IDLE_BEFORE_END_S
    ends_at = started + grace.total_seconds() - _GIVE_UP_BEFORE_END_S
    server.start_draining()
    await asyncio.sleep(_BALANCER_DELAY_S)
    while server.open_connections and loop.time() < closes_at:
        await asyncio.sleep(_POLL_INTERVAL_S)
    server.close()
    while open_requests() and loop.time() < ends_at:
        await asyncio.sleep(_POLL_INTERVAL_S)
    answered = not open_requests()
    fields = {
        'seconds': round(loop.time() - started, 2),
        'unanswered': open_requests(),
    }
    _LOG.info('drain finished', extra=fields)
    return answered
