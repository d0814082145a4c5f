"""Prints the outcome of a command."""

import argparse
import os
import sys
from collections.abc import Iterable, Mapping

import orjson

from nutmegstep.cli.exit_codes import CommandFailure, ExitCode

__all__ = ['print_failure', 'print_lines', 'print_outcome']


def print_outcome(
    arguments: argparse.Namespace,
    document: Mapping[str, object],
    lines: Iterable[str],
) -> None:
    """Print `document` with `--json`, and `lines` without."""
    if arguments.json:
        encoded = orjson.dumps(document, option=orjson.OPT_INDENT_2)
        print_lines([encoded.decode()])
    else:
        print_lines(lines)


def print_lines(lines: Iterable[str]) -> None:
    """Print lines; a reader that went away does not stop the command.

    Notes
    -----
    ``publish | head`` closes standard output before the write. A command
    that stopped there, or failed after the write, would mislead scripts.
    """
    try:
        print(*lines, sep='\n', flush=True)
    except BrokenPipeError:
        with open(os.devnull, 'wb') as sink:
            os.dup2(sink.fileno(), sys.stdout.fileno())


def print_failure(
    arguments: argparse.Namespace,
    failure: CommandFailure,
) -> ExitCode:
    """Print a failure and return its exit code."""
    document = {'error': failure.code.name.lower(), 'detail': failure.detail}
    if arguments.json:
        print_outcome(arguments, document, ())
    else:
        print(f'error: {failure.detail}', file=sys.stderr)
    return failure.code
