"""The `gateway` command: serves routed requests from announced targets."""

import argparse
import os
from pathlib import Path

from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.cli.options import Commands, add_command
from nutmegstep.cli.output import print_failure, print_outcome
from nutmegstep.settings import (
    GatewaySettings,
    SettingsError,
    add_arguments,
    read_environment_file,
    read_settings,
)

__all__ = ['add_parser', 'execute']


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    parser = add_command(
        commands,
        'gateway',
        'serve routed requests from announced targets',
        'Run a gateway until SIGTERM. A flag overrides its variable, and '
        'a variable overrides the settings file.',
    )
    parser.add_argument(
        '--settings-file',
        metavar='FILE',
        type=Path,
        help='file with one NAME=value per line',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        dest='only_check',
        help='check the settings and exit',
    )
    add_arguments(parser, GatewaySettings)
    parser.set_defaults(run=execute)


def execute(arguments: argparse.Namespace) -> int:
    """Run a gateway, or only check its settings.

    Return the exit code.
    """
    try:
        settings = _read(arguments)
    except SettingsError as error:
        failure = CommandFailure(ExitCode.USAGE, str(error))
        return print_failure(arguments, failure)
    if arguments.only_check:
        document = {'valid': True, 'vm_name': settings.vm_name}
        lines = (f'settings of {settings.vm_name} are valid',)
        print_outcome(arguments, document, lines)
        return ExitCode.OK
    # Imported here so that the other commands start faster.
    from nutmegstep.platform.core import run_gateway

    return run_gateway(settings, lambda: _read(arguments))


def _read(arguments: argparse.Namespace) -> GatewaySettings:
    variables = dict(os.environ)
    if arguments.settings_file is not None:
        variables = {
            **read_environment_file(arguments.settings_file),
            **variables,
        }
    return read_settings(GatewaySettings, arguments, variables)
