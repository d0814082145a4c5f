"""The `restore` command: puts a failure domain back into service."""

from typing import Final

from nutmegstep.cli.control_command import (
    ControlCommand,
    add_control_command,
)
from nutmegstep.cli.options import Commands
from nutmegstep.declarations import ControlSubject

__all__ = ['add_parser']

_COMMAND: Final = ControlCommand(
    'restore',
    'put a failure domain back into service',
    'Put a withdrawn failure domain back into service. '
    'If the platform is unavailable, an entry VM applies the change.',
    ControlSubject.FAILURE_DOMAIN,
    withdrawn=False,
)


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    add_control_command(commands, _COMMAND)
