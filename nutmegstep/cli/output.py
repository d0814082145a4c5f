"""Prints the outcome of a command."""

import argparse
import sys
from collections.abc import Iterable, Mapping

import orjson

from nutmegstep.cli.exit_codes import CommandFailure, ExitCode

__all__ = ['print_failure', 'print_outcome']


def print_outcome(
    arguments: argparse.Namespace,
    document: Mapping[str, object],
    lines: Iterable[str],
) -> None:
    """Print `document` with `--json`, and `lines` without."""
    if arguments.json:
        encoded = orjson.dumps(document, option=orjson.OPT_INDENT_2)
        print(encoded.decode())
        return
    for line in lines:
        print(line)


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
