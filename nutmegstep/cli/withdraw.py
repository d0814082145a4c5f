"""The `withdraw` command: takes a failure domain out of service."""

from typing import Final

from nutmegstep.cli.control_command import (
    ControlCommand,
    add_control_command,
)
from nutmegstep.cli.options import Commands
from nutmegstep.declarations import ControlSubject

__all__ = ['add_parser']

_COMMAND: Final = ControlCommand(
    'withdraw',
    'take a failure domain out of service',
    'Withdraw a failure domain: new work stops within 5 s. '
    'If the platform is unavailable, an entry VM applies the change.',
    ControlSubject.FAILURE_DOMAIN,
    withdrawn=True,
)


def add_parser(commands: Commands) -> None:
    """Add the command to the parser."""
    add_control_command(commands, _COMMAND)
