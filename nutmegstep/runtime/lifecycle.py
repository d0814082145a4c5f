"""Runs until the process is asked to stop, then drains it."""

import asyncio
import logging
import signal
from dataclasses import dataclass
from typing import Final, Protocol

from nutmegstep.engine.events import DrainStarted
from nutmegstep.runtime.core import Runtime
from nutmegstep.web import HttpServer

__all__ = ['DrainTimeouts', 'DrainableFilter', 'drain', 'run']

_LOG: Final = logging.getLogger(__name__)
_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class DrainableFilter(Protocol):
    """Early check of the callers' port."""

    draining: bool
    refusing: bool


@dataclass(frozen=True, slots=True)
class DrainTimeouts:
    """Times of a drain in seconds.

    Parameters
    ----------
    balancer_lag : float
        For how long the balancer may still send connections.
    quiet : float
        The listener closes when no connection has arrived for this time.
    listener_close : float
        The listener closes at the latest so long after the signal.
    in_flight : float
        Longest time for requests in flight afterwards.
    """

    balancer_lag: float = 5
    quiet: float = 0.5
    listener_close: float = 10
    in_flight: float = 30


async def run(
    runtime: Runtime,
    server: HttpServer,
    head_filter: DrainableFilter,
    stop: asyncio.Event,
    times: DrainTimeouts | None = None,
) -> bool:
    """Serve until SIGTERM, SIGINT or `stop`, then drain.

    Parameters
    ----------
    runtime : Runtime
        Runs the requests.
    server : HttpServer
        The callers' port.
    head_filter : DrainableFilter
        Its early check.
    stop : asyncio.Event
        Stops the process from inside.
    times : DrainTimeouts, optional
        Times of the drain.

    Returns
    -------
    bool
        Whether every request was answered.
    """
    loop = asyncio.get_running_loop()
    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    try:
        await stop.wait()
    finally:
        for signal_number in _STOP_SIGNALS:
            loop.remove_signal_handler(signal_number)
    return await drain(runtime, server, head_filter, times or DrainTimeouts())


async def drain(
    runtime: Runtime,
    server: HttpServer,
    head_filter: DrainableFilter,
    times: DrainTimeouts,
) -> bool:
    """Stop to accept and wait for the requests in flight.

    Notes
    -----
    The reducer is told last, when no caller is connected any more: until
    then each request that has arrived is still served.
    """
    _LOG.info('drain started')
    head_filter.draining = True
    server.start_draining()
    await _wait_for_last_connection(server, times)
    head_filter.refusing = True
    server.close()
    try:
        await asyncio.wait_for(
            _wait_until_drained(runtime, server), times.in_flight
        )
    except TimeoutError:
        _LOG.error('drain ended with requests in flight')
        return False
    _LOG.info('drain finished')
    return True


async def _wait_until_drained(runtime: Runtime, server: HttpServer) -> None:
    await server.wait_closed()
    runtime.dispatch(DrainStarted())
    await runtime.drained.wait()


async def _wait_for_last_connection(
    server: HttpServer, times: DrainTimeouts
) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    latest = started + times.listener_close
    close_at = started + times.balancer_lag
    while loop.time() < close_at:
        await asyncio.sleep(close_at - loop.time())
        close_at = min(latest, server.last_accepted_at + times.quiet)
