"""Parser of the command line and entry point of the commands."""

import argparse
import sys
from collections.abc import Sequence
from typing import Final

from nutmegstep.cli import (
    check,
    diff,
    drain,
    experiment,
    explain,
    forget,
    gateway,
    publish,
    restore,
    rollouts,
    serve,
    status,
    undrain,
    withdraw,
)
from nutmegstep.cli.exit_codes import describe_exit_codes

__all__ = ['build_parser', 'main']

_COMMANDS: Final = (
    serve,
    check,
    diff,
    publish,
    withdraw,
    restore,
    drain,
    undrain,
    status,
    explain,
    forget,
    gateway,
    rollouts,
    experiment,
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='nutmegstep',
        description=(
            'Query tier that scatters requests over many shards.\n\n'
            'To change the configuration: edit declaration files, then run '
            'check, diff and publish.\n'
            'To take load away: withdraw (failure domain) or drain (target).'
        ),
        epilog=describe_exit_codes(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    for command in _COMMANDS:
        command.add_parser(commands)
    return parser


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command of a command line and exit with its exit code.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments without the program name; those of the process by default.
    """
    arguments = build_parser().parse_args(argv)
    check_arguments = getattr(arguments, 'check', None)
    if check_arguments is not None:
        check_arguments(arguments)
    sys.exit(arguments.run(arguments))
