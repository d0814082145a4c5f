"""The `rollouts` command: shows the steps of roll-outs and their evidence."""

import argparse
from collections.abc import Iterable, Iterator
from dataclasses import asdict
from itertools import chain
from pathlib import Path
from typing import Final

from nutmegstep.cli.exit_codes import CommandFailure, ExitCode
from nutmegstep.cli.options import Commands, add_command, bounded_name
from nutmegstep.cli.output import print_failure, print_outcome
from nutmegstep.logs.explaining import LogEntry, describe_entry, read_entries

__all__ = ['add_parser', 'execute']

_MESSAGES: Final = frozenset(
    ('rollout_stored', 'rollout_decided', 'rollout_held', 'rollout_removed')
)


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    parser = add_command(
        commands,
        'rollouts',
        'show the steps of roll-outs and their evidence',
        'Read the logs of gateways and print the orders of roll-outs, each step'
        ' with the evidence for it, and the state of each service last.',
    )
    parser.add_argument(
        '--log',
        metavar='FILE',
        type=Path,
        action='append',
        required=True,
        help='log of a gateway; may be given more than once',
    )
    parser.add_argument(
        'service',
        nargs='?',
        type=bounded_name,
        help='service to show; all by default',
    )
    parser.set_defaults(run=execute)


def execute(arguments: argparse.Namespace) -> int:
    """Print the steps of roll-outs and return the exit code."""
    try:
        texts = [
            path.read_text('utf-8', errors='replace') for path in arguments.log
        ]
    except OSError as error:
        failure = CommandFailure(ExitCode.INVALID, str(error))
        return print_failure(arguments, failure)
    lines = chain.from_iterable(text.splitlines() for text in texts)
    steps = sorted(
        _steps(read_entries(lines), arguments.service),
        key=lambda entry: entry.time,
    )
    if not steps:
        failure = CommandFailure(ExitCode.UNAVAILABLE, 'no roll-out was logged')
        return print_failure(arguments, failure)
    phase_by_service = {
        str(fields['service']): str(fields['phase'])
        for fields in map(_fields, steps)
        if 'phase' in fields
    }
    document = {
        'steps': [asdict(step) for step in steps],
        'phases': phase_by_service,
    }
    states = (f'{name}: {phase}' for name, phase in phase_by_service.items())
    print_outcome(
        arguments, document, chain(map(describe_entry, steps), states)
    )
    return ExitCode.OK


def _steps(
    entries: Iterable[LogEntry], service: str | None
) -> Iterator[LogEntry]:
    for entry in entries:
        is_asked = service in {None, _fields(entry).get('service')}
        if entry.message in _MESSAGES and is_asked:
            yield entry


def _fields(entry: LogEntry) -> dict[str, object]:
    return dict(entry.inputs)
