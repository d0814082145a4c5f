"""The `status` command: shows the state of an entry VM."""

import argparse
import asyncio
from collections.abc import Iterator, Mapping
from dataclasses import asdict
from typing import Final

from returns.pipeline import is_successful

from nutmegstep.cli.calling import call_in_turn
from nutmegstep.cli.connecting import operator_interface
from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.cli.options import (
    Commands,
    add_command,
    add_entry,
    entry_addresses,
)
from nutmegstep.cli.output import print_failure, print_outcome

__all__ = ['add_parser', 'execute']

_ALARMS: Final = 'alarms'


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    parser = add_command(
        commands,
        'status',
        'show the state of an entry VM',
        'Show which configuration is in force on an entry VM, what is out of'
        ' service and which alarms are raised.',
    )
    add_entry(parser, required=True)
    parser.set_defaults(run=lambda found: asyncio.run(execute(found)))


async def execute(arguments: argparse.Namespace) -> int:
    """Print the status of an entry VM and return the exit code."""
    async with operator_interface(arguments) as interface:
        called = await call_in_turn(
            entry_addresses(arguments),
            interface.read_status,
        )
    if not is_successful(called):
        return print_failure(arguments, called.failure())
    document = asdict(called.unwrap())
    print_outcome(arguments, document, _field_lines(document))
    return ExitCode.OK


def _field_lines(document: Mapping[str, object]) -> Iterator[str]:
    """Return one line for each field, then one line for each alarm."""
    for name, found in document.items():
        if name != _ALARMS:
            yield f'{name}: {_format_value(found)}'
    alarms = document[_ALARMS]
    if isinstance(alarms, tuple):
        yield from (f'alarm: {alarm}' for alarm in alarms or ('none',))


def _format_value(found: object) -> str:
    if isinstance(found, tuple):
        return ', '.join(map(str, found)) or 'none'
    if isinstance(found, dict):
        return ', '.join(f'{name} {count}' for name, count in found.items())
    return str(found)
