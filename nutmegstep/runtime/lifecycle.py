"""Graceful shutdown of an entry process on SIGTERM or SIGINT."""

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
    """Head filter of the callers' port, with switches for the drain.

    Attributes
    ----------
    draining : bool
        Whether readiness probes fail.
    refusing : bool
        Whether all requests are refused.
    """

    draining: bool
    refusing: bool


@dataclass(frozen=True, slots=True)
class DrainTimeouts:
    """Durations of the steps of a drain, in seconds.

    Parameters
    ----------
    deregistration_delay : float
        Time after the start of the drain for which the listening socket
        stays open in any case, since the load balancer may still send
        connections.
    quiet_period : float
        Time without a new connection after which the listening socket is
        closed.
    listener_close : float
        Maximum time from the start of the drain to the close of the listening
        socket, even if connections still arrive.
    in_flight : float
        Maximum time for requests in flight after the close of the listening
        socket.
    """

    deregistration_delay: float = 5
    quiet_period: float = 0.5
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
        Executes the requests.
    server : HttpServer
        Server of the callers' port.
    head_filter : DrainableFilter
        Head filter of the callers' port.
    stop : asyncio.Event
        Starts the drain when it is set; the signals set it too.
    times : DrainTimeouts, optional
        Durations of the steps of the drain.

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
    """Stop accepting connections and wait for the requests in flight.

    Parameters
    ----------
    runtime : Runtime
        Executes the requests.
    server : HttpServer
        Server of the callers' port.
    head_filter : DrainableFilter
        Head filter of the callers' port.
    times : DrainTimeouts
        Durations of the steps of the drain.

    Returns
    -------
    bool
        Whether every request was answered.

    Notes
    -----
    `DrainStarted` is dispatched last, when no caller is connected any more.
    Until then every request that has arrived is still served.
    """
    _LOG.info('drain started')
    head_filter.draining = True
    server.start_draining()
    await _wait_for_quiet_period(server, times)
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


async def _wait_for_quiet_period(
    server: HttpServer, times: DrainTimeouts
) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    latest = started + times.listener_close
    close_at = started + times.deregistration_delay
    while loop.time() < close_at:
        await asyncio.sleep(close_at - loop.time())
        close_at = min(latest, server.last_accepted_at + times.quiet_period)
