"""The `drain` command: takes a target out of service."""

from typing import Final

from nutmegstep.cli.control_command import (
    ControlCommand,
    add_control_command,
)
from nutmegstep.cli.options import Commands
from nutmegstep.declarations import ControlSubject

__all__ = ['add_parser']

_COMMAND: Final = ControlCommand(
    'drain',
    'take a target out of service',
    'Drain a target: new work stops within 5 s. '
    'If the platform is unavailable, an entry VM applies the change.',
    ControlSubject.TARGET,
    withdrawn=True,
)


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    add_control_command(commands, _COMMAND)
