"""The `serve` command: runs an entry process."""

import argparse
import asyncio
import os
import sys
from typing import Final

from nutmegstep.entry import serve
from nutmegstep.settings import SettingsError, add_arguments, load_settings
from nutmegstep.telemetry import configure_logs

__all__ = ['add_parser']

_EXIT_CUT_OFF: Final = 1
_EXIT_USAGE: Final = 2


def add_parser(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the command to the parser."""
    parser = commands.add_parser('serve', help='run an entry process')
    add_arguments(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run an entry process until it is stopped; return the exit code.

    The code is 1 if requests were cut off at the stop.
    """
    try:
        settings = load_settings(arguments, os.environ)
    except SettingsError as error:
        print(f'nutmegstep serve: {error}', file=sys.stderr)
        return _EXIT_USAGE
    configure_logs(settings.log_level)
    return 0 if asyncio.run(serve(settings)) else _EXIT_CUT_OFF
