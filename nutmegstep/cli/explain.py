"""The `explain` command: tells why a request was refused, partial or slow."""

import argparse
import asyncio
from dataclasses import asdict
from itertools import chain
from pathlib import Path

from returns.pipeline import is_successful

from nutmegstep.cli.calling import call_in_turn
from nutmegstep.cli.connecting import operator_interface
from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.cli.options import (
    Commands,
    add_command,
    add_entry,
    bounded_name,
    entry_addresses,
)
from nutmegstep.cli.output import print_failure, print_outcome
from nutmegstep.logs.explaining import (
    describe_entry,
    entries_of_request,
    read_entries,
)

__all__ = ['add_parser', 'execute']


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    parser = add_command(
        commands,
        'explain',
        'tell why a request was refused, partial or slow',
        'Fetch the record of a request from the entry VM that handled it, or '
        'read the log of a gateway.',
    )
    add_entry(parser, required=False)
    parser.add_argument(
        '--log',
        metavar='FILE',
        type=Path,
        action='append',
        default=[],
        help='log of a gateway; may be given more than once',
    )
    parser.add_argument(
        'request_id',
        type=bounded_name,
        help='X-Request-Id of the answer or refusal',
    )
    parser.set_defaults(run=lambda found: asyncio.run(execute(found)))


async def execute(arguments: argparse.Namespace) -> int:
    """Explain a request from logs or through entry VMs.

    Return the exit code.
    """
    if arguments.log:
        return _explain_from_logs(arguments)
    if not entry_addresses(arguments):
        detail = 'either --entry or --log is required'
        return print_failure(
            arguments,
            CommandFailure(ExitCode.USAGE, detail),
        )
    async with operator_interface(arguments) as interface:
        called = await call_in_turn(
            entry_addresses(arguments),
            lambda entry: interface.explain(entry, arguments.request_id),
        )
    if not is_successful(called):
        return print_failure(arguments, called.failure())
    explanation = called.unwrap()
    print_outcome(arguments, asdict(explanation), explanation.lines)
    return ExitCode.OK


def _explain_from_logs(arguments: argparse.Namespace) -> int:
    try:
        texts = [
            path.read_text('utf-8', errors='replace') for path in arguments.log
        ]
    except OSError as error:
        return print_failure(
            arguments,
            CommandFailure(ExitCode.INVALID, str(error)),
        )
    lines = chain.from_iterable(text.splitlines() for text in texts)
    found = entries_of_request(read_entries(lines), arguments.request_id)
    if not found:
        detail = f'no log entry of request {arguments.request_id}'
        return print_failure(
            arguments,
            CommandFailure(ExitCode.UNAVAILABLE, detail),
        )
    document = {'entries': [asdict(entry) for entry in found]}
    print_outcome(arguments, document, map(describe_entry, found))
    return ExitCode.OK
