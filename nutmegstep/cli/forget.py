"""The `forget` command: removes a stopped VM from the roster."""

import argparse
import asyncio

from returns.pipeline import is_successful

from nutmegstep.cli.calling import call_in_turn
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
        'forget',
        'remove a permanently stopped VM from the roster',
        'Remove a VM from the roster of its failure domain, so that cold'
        ' targets can be used again. Only for a VM that is certainly stopped:'
        ' two VMs could otherwise send to the same cold target.',
    )
    add_entry(parser, required=True)
    parser.add_argument('vm', type=bounded_name, help='name of the VM')
    parser.set_defaults(run=lambda found: asyncio.run(execute(found)))


async def execute(arguments: argparse.Namespace) -> int:
    """Remove the VM through an entry VM and return the exit code."""
    async with operator_interface(arguments) as interface:
        called = await call_in_turn(
            entry_addresses(arguments),
            lambda entry: interface.forget_vm(entry, arguments.vm),
        )
    if not is_successful(called):
        return print_failure(arguments, called.failure())
    document = {'forgotten': arguments.vm}
    print_outcome(arguments, document, [f'{arguments.vm} is forgotten'])
    return ExitCode.OK
