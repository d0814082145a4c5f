"""Runs a gateway on the operators' platform."""

import argparse
import asyncio
import os
import sys
from pathlib import Path
from typing import Final

from prometheus_client import Counter

from nutmegstep.clock import Clock
from nutmegstep.gateway.adapter import PlatformAdapter, Store, StoreNames
from nutmegstep.gateway.process import ReadSettings, serve
from nutmegstep.logs import configure_buffered_logs
from nutmegstep.platform.documents import read_configuration, read_target
from nutmegstep.platform.rollouts import read_rollout, write_rollout
from nutmegstep.platform.store import KIND_ROLLOUTS, ObjectStore
from nutmegstep.platform.wire import ATTEMPT_ID, CODEC
from nutmegstep.platform_api.transport import HttpTransport
from nutmegstep.settings import (
    GatewaySettings,
    SettingsError,
    read_environment_file,
    read_settings,
)

__all__ = ['ADAPTER', 'main', 'run_gateway']

_SETTINGS_FILE_VARIABLE: Final = 'NUTMEGSTEP_NODE_FILE'
"""Environment variable with the path of the settings file."""
_EXIT_UNANSWERED: Final = 1
_EXIT_USAGE: Final = 2


def _open_store(
    address: tuple[str, int],
    clock: Clock,
    counter: Counter,
) -> Store:
    return ObjectStore(HttpTransport(*address, clock), counter)


ADAPTER: Final = PlatformAdapter(
    codec=CODEC,
    kinds=StoreNames(
        configuration='config',
        current='main',
        targets='servers',
        withdrawals='evacuations',
        crashes='nutmegstep-crashes',
        rollouts=KIND_ROLLOUTS,
    ),
    id_header=ATTEMPT_ID,
    ready_path='/v1/ready',
    open_store=_open_store,
    read_configuration=read_configuration,
    read_target=read_target,
    read_rollout=read_rollout,
    write_rollout=write_rollout,
)


def main() -> int:
    """Run a gateway with the settings of the environment.

    Returns
    -------
    int
        Exit code.
    """
    try:
        settings = _read_settings()
    except SettingsError as error:
        print(f'nutmegstep: {error}', file=sys.stderr)
        return _EXIT_USAGE
    return run_gateway(settings, _read_settings)


def run_gateway(settings: GatewaySettings, read: ReadSettings) -> int:
    """Run a gateway until it is stopped by a signal.

    Parameters
    ----------
    settings : GatewaySettings
        Settings at the start.
    read : ReadSettings
        Reads the settings again while the process runs.

    Returns
    -------
    int
        Exit code: 0 if every request was answered before the stop, else 1.
    """
    logs = configure_buffered_logs(settings.log_level, sys.stdout.fileno())
    answered = asyncio.run(serve(ADAPTER, settings, read))
    logs.flush()
    return 0 if answered else _EXIT_UNANSWERED


def _read_settings() -> GatewaySettings:
    variables = dict(os.environ)
    path = os.environ.get(_SETTINGS_FILE_VARIABLE)
    if path is not None:
        variables.update(read_environment_file(Path(path)))
    return read_settings(GatewaySettings, argparse.Namespace(), variables)
