"""The `explain` command: tells why a request was refused, partial or slow."""

import argparse
import asyncio
from dataclasses import asdict

from returns.pipeline import is_successful

from nutmegstep.cli.asking import ask_in_turn
from nutmegstep.cli.connecting import operator_interface
from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.cli.options import (
    Commands,
    add_command,
    add_entry,
    bounded_name,
    entry_addresses,
)
from nutmegstep.cli.output import print_failure, print_outcome

__all__ = ['add_parser', 'execute']


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    parser = add_command(
        commands,
        'explain',
        'tell why a request was refused, partial or slow',
        'Ask the entry VM that handled a request what happened to it.',
    )
    add_entry(parser, required=True)
    parser.add_argument(
        'request_id',
        type=bounded_name,
        help='X-Request-Id of the answer or refusal',
    )
    parser.set_defaults(run=lambda found: asyncio.run(execute(found)))


async def execute(arguments: argparse.Namespace) -> int:
    """Ask an entry VM; return the exit code."""
    async with operator_interface(arguments) as interface:
        asked = await ask_in_turn(
            entry_addresses(arguments),
            lambda entry: interface.explain(entry, arguments.request_id),
        )
    if not is_successful(asked):
        return print_failure(arguments, asked.failure())
    explanation = asked.unwrap()
    print_outcome(arguments, asdict(explanation), explanation.lines)
    return ExitCode.OK
