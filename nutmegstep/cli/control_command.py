"""Common part of `withdraw`, `restore`, `drain` and `undrain`."""

import argparse
import asyncio
from contextlib import closing
from dataclasses import asdict, dataclass

from returns.pipeline import is_successful
from returns.result import Failure, Result

from nutmegstep.cli.controlling import Applied, change_control
from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.cli.operators import operator_interface
from nutmegstep.cli.options import (
    Commands,
    add_command,
    add_entry,
    add_operator,
    add_platform,
    entry_addresses,
    operator_name,
    platform_client,
)
from nutmegstep.cli.output import print_failure, print_outcome
from nutmegstep.cli.publishing import read_in_force
from nutmegstep.declarations import ControlChange, ControlSubject
from nutmegstep.platform_api import ObjectClient

__all__ = ['ControlCommand', 'add_control_command', 'execute']


@dataclass(frozen=True, slots=True)
class ControlCommand:
    """Name, texts and meaning of a command."""

    name: str
    summary: str
    description: str
    subject: ControlSubject
    withdrawn: bool


def add_control_command(commands: Commands, command: ControlCommand) -> None:
    """Add one of the four commands to the parser."""
    parser = add_command(
        commands,
        command.name,
        command.summary,
        command.description,
    )
    subject = command.subject.value
    parser.add_argument('name', help=f'name of the {subject.replace("_", " ")}')
    parser.add_argument(
        '--force',
        action='store_true',
        help='accept a name that the published configuration does not have',
    )
    add_platform(parser)
    add_entry(parser, required=False)
    add_operator(parser)
    parser.set_defaults(
        command=command,
        run=lambda found: asyncio.run(execute(found)),
    )


async def execute(arguments: argparse.Namespace) -> int:
    """Apply the change; return the exit code."""
    with closing(platform_client(arguments)) as client:
        changed = await _change(arguments, client)
    if not is_successful(changed):
        return print_failure(arguments, changed.failure())
    applied = changed.unwrap()
    name = arguments.command.name
    done = 'was already in force' if applied.already else 'is in force'
    line = f'{name} {arguments.name} {done} through {applied.through}'
    print_outcome(arguments, asdict(applied), [line])
    return ExitCode.OK


async def _change(
    arguments: argparse.Namespace,
    client: ObjectClient,
) -> Result[Applied, CommandFailure]:
    if not arguments.force:
        unknown = await _check_name(arguments, client)
        if unknown is not None:
            return Failure(unknown)
    command = arguments.command
    return await change_control(
        client,
        operator_interface(),
        entry_addresses(arguments),
        ControlChange(
            command.subject,
            arguments.name,
            command.withdrawn,
            operator_name(arguments),
        ),
    )


async def _check_name(
    arguments: argparse.Namespace,
    client: ObjectClient,
) -> CommandFailure | None:
    """Refuse an unknown name; without the platform every name passes."""
    read = await read_in_force(client)
    if not is_successful(read) or read.unwrap().version is None:
        return None
    fleet = read.unwrap().published.fleet
    known = {
        ControlSubject.TARGET: fleet.targets_by_name,
        ControlSubject.FAILURE_DOMAIN: fleet.entry_vms_by_domain,
    }[arguments.command.subject]
    if arguments.name in known:
        return None
    detail = f'{arguments.name} is not in the published configuration'
    return CommandFailure(ExitCode.INVALID, detail)
