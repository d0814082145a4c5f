"""Prints results and failures of commands."""

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
    """Print `document` as JSON with `--json`, otherwise print `lines`."""
    if arguments.json:
        encoded = orjson.dumps(document, option=orjson.OPT_INDENT_2)
        print_lines([encoded.decode()])
    else:
        print_lines(lines)


def print_lines(lines: Iterable[str]) -> None:
    """Print lines; a closed standard output does not stop the command.

    Notes
    -----
    In ``publish | head``, standard output can be closed before the
    configuration is written. If the command stopped there, it would not
    write; if it failed after the write, its exit code would be wrong.
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
    """Print a failure and return its exit code.

    Without `--json` it goes to standard error.
    """
    document = {'error': failure.code.name.lower(), 'detail': failure.detail}
    if arguments.json:
        print_outcome(arguments, document, ())
    else:
        print(f'error: {failure.detail}', file=sys.stderr)
    return failure.code
