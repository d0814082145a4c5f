"""Graceful shutdown of a gateway: stops accepting, then finishes requests."""

import asyncio
import logging
import signal
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from nutmegstep.web import HttpServer

__all__ = ['ANSWER_BEFORE_END_S', 'drain', 'install_signal_handlers']

_LOG: Final = logging.getLogger(__name__)
_BALANCER_DELAY_S: Final = 2.6
"""Time after which the load balancer opens no new connections. It probes once
a second, acts on the second failed probe, and a connection may already be on
its way."""
_CLOSE_IDLE_BEFORE_END_S: Final = 1.4
"""Time before the end of the grace period at which idle connections are closed.
It is long enough for callers that are slow to notice, so that none of them
loses a request."""
_GIVE_UP_BEFORE_END_S: Final = 0.35
"""Time before the end of the grace period at which open requests are left
unanswered."""
ANSWER_BEFORE_END_S: Final = 0.5
"""Time before the end of the grace period by which all requests have their final
answer; the answers are still to be written."""
_POLL_INTERVAL_S: Final = 0.1


async def drain(
    server: HttpServer,
    open_requests: Callable[[], int],
    grace: timedelta,
) -> bool:
    """Answer callers until they have disconnected or the grace period ends.

    Parameters
    ----------
    server : HttpServer
        Server on the port for callers.
    open_requests : Callable
        Returns the number of requests that are not answered yet.
    grace : datetime.timedelta
        Time from the request to stop until the process is killed.

    Returns
    -------
    bool
        Whether every request was answered in time.
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
    await server.wait_accepted()
    while _unanswered(server, open_requests) and loop.time() < ends_at:
        await asyncio.sleep(_POLL_INTERVAL_S)
    answered = not open_requests()
    fields = {
        'seconds': round(loop.time() - started, 2),
        'unanswered': open_requests(),
        'pending_connections': server.pending_connections,
    }
    _LOG.info('drain finished', extra=fields)
    return answered


def _unanswered(server: HttpServer, open_requests: Callable[[], int]) -> int:
    # A request that is still being read, or one on a connection that has just
    # been accepted, is not among the open requests yet.
    return open_requests() + server.pending_connections


def install_signal_handlers() -> tuple[asyncio.Event, asyncio.Event]:
    """Return events that are set when a stop or a reload is requested."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    return stop_requested, reload_requested
