"""The `check` command: validates declarations offline."""

import argparse

from returns.pipeline import is_successful

from nutmegstep.cli.collecting import collect_paths
from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.cli.options import Commands, add_command, add_paths
from nutmegstep.cli.output import print_outcome

__all__ = ['add_parser']


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    parser = add_command(
        commands,
        'check',
        'check declarations offline',
        'Check declaration files together, without any network access. '
        'Suits a pre-commit hook.',
    )
    add_paths(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Check declaration files and return the exit code."""
    collected = collect_paths(arguments)
    if not is_successful(collected):
        return collected.failure()
    fleet = collected.unwrap()
    document = {
        'services': len(fleet.services_by_name),
        'targets': len(fleet.targets_by_name),
    }
    counts = [f'{number} {name}' for name, number in document.items()]
    print_outcome(arguments, document, [f'valid: {", ".join(counts)}'])
    return ExitCode.OK
