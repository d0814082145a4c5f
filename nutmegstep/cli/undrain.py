"""The `undrain` command: puts a target back into service."""

from typing import Final

from nutmegstep.cli.control_command import (
    ControlCommand,
    add_control_command,
)
from nutmegstep.cli.options import Commands
from nutmegstep.declarations import ControlSubject

__all__ = ['add_parser']

_COMMAND: Final = ControlCommand(
    'undrain',
    'put a target back into service',
    'Put a drained target back into service. '
    'If the platform is unavailable, an entry VM applies the change.',
    ControlSubject.TARGET,
    withdrawn=False,
)


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    add_control_command(commands, _COMMAND)
