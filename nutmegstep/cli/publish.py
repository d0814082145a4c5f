"""The `publish` command: writes the declared configuration."""

import argparse
import asyncio
import sys
from contextlib import closing
from typing import Final

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from nutmegstep.cli.collecting import collect_paths
from nutmegstep.cli.connecting import operator_interface
from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.cli.generations import highest_generation
from nutmegstep.cli.options import (
    Commands,
    add_command,
    add_entry,
    add_operator,
    add_paths,
    add_platform,
    entry_addresses,
    operator_name,
    platform_client,
)
from nutmegstep.cli.output import print_failure, print_lines, print_outcome
from nutmegstep.cli.publishing import (
    Plan,
    commit_plan,
    make_plan,
    read_stored,
)
from nutmegstep.model import Fleet
from nutmegstep.platform_api import ObjectClient

__all__ = ['add_parser', 'execute']

_NO_GENERATION_KNOWN: Final = (
    'warning: no entry VM reported its generation; if the platform was '
    'restored to an older state, use --above'
)


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    parser = add_command(
        commands,
        'publish',
        'publish the declared configuration',
        'Collect and check declaration files, show the difference and write '
        'it if '
        'nobody else has published in the meantime. Running it again is safe.',
    )
    add_paths(parser)
    add_platform(parser)
    add_operator(parser)
    add_entry(parser, required=False)
    parser.add_argument(
        '--expect-generation',
        metavar='N',
        type=int,
        help='refuse unless generation N is stored, as diff showed it',
    )
    parser.add_argument(
        '--above',
        metavar='N',
        type=int,
        default=0,
        help=(
            'use a generation above N, after a restore of the platform or '
            'to end a conflict of two configurations'
        ),
    )
    parser.add_argument(
        '--dry-run',
        action='store_true',
        help='show the difference and write nothing',
    )
    parser.set_defaults(run=lambda found: asyncio.run(execute(found)))


async def execute(arguments: argparse.Namespace) -> int:
    """Publish the declared configuration and return the exit code."""
    collected = collect_paths(arguments)
    if not is_successful(collected):
        return collected.failure()
    with closing(platform_client(arguments)) as client:
        planned = await _plan(arguments, client, collected.unwrap())
        if not is_successful(planned):
            return print_failure(arguments, planned.failure())
        plan = planned.unwrap()
        _print_changes(arguments, plan)
        failure = await _commit(arguments, client, plan)
    if failure is not None:
        return print_failure(arguments, failure)
    _print_result(arguments, plan)
    return ExitCode.OK


async def _plan(
    arguments: argparse.Namespace,
    client: ObjectClient,
    fleet: Fleet,
) -> Result[Plan, CommandFailure]:
    read = await read_stored(client)
    if not is_successful(read):
        return Failure(read.failure())
    base = read.unwrap()
    expected = arguments.expect_generation
    if expected not in {None, base.published.generation}:
        detail = (
            f'generation {base.published.generation} of '
            f'{base.published.published_by} is stored, not {expected}'
        )
        return Failure(CommandFailure(ExitCode.CONFLICT, detail))
    async with operator_interface(arguments) as interface:
        highest = await highest_generation(
            client,
            interface,
            entry_addresses(arguments),
        )
    if highest is None:
        print(_NO_GENERATION_KNOWN, file=sys.stderr)
    operator = operator_name(arguments)
    above = arguments.above
    return Success(make_plan(base, fleet, operator, highest or 0, above))


async def _commit(
    arguments: argparse.Namespace,
    client: ObjectClient,
    plan: Plan,
) -> CommandFailure | None:
    if plan.unchanged or arguments.dry_run:
        return None
    committed = await commit_plan(client, plan)
    return None if is_successful(committed) else committed.failure()


def _print_changes(arguments: argparse.Namespace, plan: Plan) -> None:
    """Print the differences before the write.

    With `--json` they are part of the document that is printed at the end.
    """
    if plan.changes and not arguments.json:
        print_lines(map(str, plan.changes))


def _print_result(arguments: argparse.Namespace, plan: Plan) -> None:
    written = not (plan.unchanged or arguments.dry_run)
    document = {
        'generation': plan.fleet.generation,
        'written': written,
        'changes': [str(change) for change in plan.changes],
    }
    outcome = 'published' if written else 'not written'
    if plan.unchanged:
        outcome = 'already in force'
    line = f'generation {plan.fleet.generation}: {outcome}'
    print_outcome(arguments, document, [line])
