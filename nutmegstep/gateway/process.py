"""Starts the parts of a gateway process and stops them in order."""

import asyncio
import logging
from functools import partial
from typing import Final

from nutmegstep.dispatch.control_events import StopScheduled
from nutmegstep.gateway.adapter import PlatformAdapter
from nutmegstep.gateway.allocator import return_large_blocks
from nutmegstep.gateway.lifecycle import (
    ANSWER_BEFORE_END_S,
    drain,
    install_signal_handlers,
)
from nutmegstep.gateway.process_parts import GatewayProcess, ReadSettings
from nutmegstep.settings import GatewaySettings
from nutmegstep.web import HttpServer

__all__ = ['ReadSettings', 'serve']

_LOG: Final = logging.getLogger(__name__)


async def serve(
    adapter: PlatformAdapter,
    settings: GatewaySettings,
    read: ReadSettings,
) -> bool:
    """Run a gateway until SIGTERM or SIGINT.

    Parameters
    ----------
    adapter : PlatformAdapter
        Formats, names and store client of the platform.
    settings : GatewaySettings
        Settings at the start.
    read : ReadSettings
        Reads the settings again while the process runs.

    Returns
    -------
    bool
        Whether every request was answered before the process stopped.
    """
    return_large_blocks()
    process = GatewayProcess(adapter, settings)
    stop_requested, reload_requested = install_signal_handlers()
    caller_server = await process.serve_callers()
    ready_server = await process.serve_operators()
    await process.report_exchange.open(settings.peers_address)
    tasks = _start_tasks(process, caller_server, read, reload_requested)
    for task in tasks:
        task.add_done_callback(partial(_stop_on_failure, stop_requested))
    fields = {'vm': settings.vm_name, 'domain': settings.failure_domain}
    _LOG.info('started', extra=fields)
    await stop_requested.wait()
    _LOG.info('stop requested')
    process.is_draining = True
    # The grace period may have changed since the start.
    grace = process.settings.grace
    process.gateway.dispatch(
        StopScheduled(
            process.clock.monotonic()
            + grace.total_seconds()
            - ANSWER_BEFORE_END_S
        )
    )
    answered = await drain(
        caller_server,
        lambda: process.gateway.open_requests,
        grace,
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    process.gateway.close()
    process.report_exchange.close()
    process.rollout_writer.close()
    process.store.close()
    ready_server.close()
    return answered


def _start_tasks(
    process: GatewayProcess,
    caller_server: HttpServer,
    read: ReadSettings,
    reload_requested: asyncio.Event,
) -> list[asyncio.Task[None]]:
    store_sync = process.build_store_sync()
    coroutines = (
        store_sync.run(),
        process.run_housekeeping(caller_server),
        process.reload(read, reload_requested),
    )
    return [asyncio.create_task(one) for one in coroutines]


def _stop_on_failure(
    stop_requested: asyncio.Event,
    task: asyncio.Task[None],
) -> None:
    # Without one of its tasks the process would serve outdated targets,
    # configuration or settings. It stops, so that it is restarted.
    if not task.cancelled() and task.exception() is not None:
        _LOG.error('task failed, stopping', exc_info=task.exception())
        stop_requested.set()
