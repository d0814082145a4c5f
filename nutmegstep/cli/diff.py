"""The `diff` command: compares declarations with the published ones."""

import argparse
import asyncio
from contextlib import closing

from returns.pipeline import is_successful

from nutmegstep.cli.collecting import collect_paths
from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.cli.options import (
    Commands,
    add_command,
    add_paths,
    add_platform,
    platform_client,
)
from nutmegstep.cli.output import print_failure, print_outcome
from nutmegstep.cli.publishing import read_stored
from nutmegstep.declarations import diff_fleets

__all__ = ['add_parser', 'execute']


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    parser = add_command(
        commands,
        'diff',
        'show what publish would change',
        'Compare declaration files with the published configuration. '
        'Changes nothing.',
    )
    add_paths(parser)
    add_platform(parser)
    parser.set_defaults(run=lambda found: asyncio.run(execute(found)))


async def execute(arguments: argparse.Namespace) -> int:
    """Print the differences and return the exit code."""
    collected = collect_paths(arguments)
    if not is_successful(collected):
        return collected.failure()
    with closing(platform_client(arguments)) as client:
        read = await read_stored(client)
    if not is_successful(read):
        return print_failure(arguments, read.failure())
    published = read.unwrap().published
    changes = diff_fleets(published.fleet, collected.unwrap())
    lines = [str(change) for change in changes]
    generation = published.generation
    document = {'generation': generation, 'changes': lines}
    heading = f'against generation {generation}: {len(lines)} changes'
    print_outcome(arguments, document, [heading, *lines])
    return ExitCode.DIFFERS if lines else ExitCode.OK
