"""Implementation of `withdraw`, `restore`, `drain` and `undrain`."""

import argparse
import asyncio
from contextlib import closing
from dataclasses import asdict, dataclass
from datetime import timedelta
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result

from nutmegstep.cli.connecting import operator_interface
from nutmegstep.cli.controlling import (
    AppliedChange,
    change_at_peers,
    change_control,
)
from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.cli.operators import OperatorInterface
from nutmegstep.cli.options import (
    Commands,
    add_command,
    add_entry,
    add_operator,
    add_platform,
    bounded_name,
    entry_addresses,
    operator_name,
    platform_client,
)
from nutmegstep.cli.output import print_failure, print_outcome
from nutmegstep.cli.publishing import read_stored
from nutmegstep.declarations import ControlChange, ControlSubject
from nutmegstep.platform_api import CALL_TIMEOUT, ObjectClient

__all__ = [
    'PLATFORM_TIMEOUT',
    'ControlCommand',
    'add_control_command',
    'execute',
]

# The platform normally replies within milliseconds. With `--entry`, a change
# goes to an entry VM after the first platform call that times out, so a short
# timeout lets an operator withdraw a failure domain quickly in an outage.
# Without `--entry` there is no alternative, and the usual timeout applies.
PLATFORM_TIMEOUT: Final = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class ControlCommand:
    """Name and help texts of a command, and the change that it makes."""

    name: str
    summary: str
    description: str
    subject: ControlSubject
    withdrawn: bool


def add_control_command(commands: Commands, command: ControlCommand) -> None:
    """Add a command to the parser."""
    parser = add_command(
        commands,
        command.name,
        command.summary,
        command.description,
    )
    subject = command.subject.value
    parser.add_argument(
        'name',
        type=bounded_name,
        help=f'name of the {subject.replace("_", " ")}',
    )
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
    """Apply the change and return the exit code."""
    timeout = PLATFORM_TIMEOUT if entry_addresses(arguments) else CALL_TIMEOUT
    with closing(platform_client(arguments, timeout)) as client:
        async with operator_interface(arguments) as interface:
            changed = await _change(arguments, client, interface)
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
    interface: OperatorInterface,
) -> Result[AppliedChange, CommandFailure]:
    entries = entry_addresses(arguments)
    change = ControlChange(
        arguments.command.subject,
        arguments.name,
        arguments.command.withdrawn,
        operator_name(arguments),
    )
    failure = None
    if not arguments.force:
        failure = await _check_name(arguments, client)
    if failure is None:
        return await change_control(client, interface, entries, change)
    if failure.code is ExitCode.UNAVAILABLE:
        return await change_at_peers(interface, entries, change, failure)
    return Failure(failure)


async def _check_name(
    arguments: argparse.Namespace,
    client: ObjectClient,
) -> CommandFailure | None:
    """Return why a name is rejected or cannot be checked, else None.

    Notes
    -----
    Any name is accepted if no configuration is published or if the published
    one cannot be decoded, so that withdrawals stay possible.
    """
    read = await read_stored(client)
    if not is_successful(read):
        failure = read.failure()
        return failure if failure.code is ExitCode.UNAVAILABLE else None
    if read.unwrap().version is None:
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
