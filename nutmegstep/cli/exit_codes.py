"""Exit codes of the commands."""

import enum
from dataclasses import dataclass

__all__ = ['CommandFailure', 'ExitCode', 'describe_exit_codes']


@enum.unique
class ExitCode(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    UNEXPECTED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNCERTAIN = 6
    TOO_LARGE = 7
    DIFFERS = 8


@dataclass(frozen=True, slots=True)
class CommandFailure:
    """Reason for which a command failed, with its exit code."""

    code: ExitCode
    detail: str


_MEANINGS = (
    (ExitCode.OK, 'done, or nothing to do'),
    (ExitCode.UNEXPECTED, 'unexpected error, with a traceback'),
    (ExitCode.USAGE, 'wrong arguments'),
    (ExitCode.INVALID, 'declarations or a name are wrong'),
    (ExitCode.CONFLICT, 'refused because of the change of another operator'),
    (ExitCode.UNAVAILABLE, 'no answer; nothing was changed'),
    (ExitCode.UNCERTAIN, 'the change may be in force; run the command again'),
    (ExitCode.TOO_LARGE, 'the configuration is above a megabyte'),
    (ExitCode.DIFFERS, 'diff found differences'),
)


def describe_exit_codes() -> str:
    """Return the table of exit codes for the end of help texts."""
    lines = [f'  {int(code)}  {text}' for code, text in _MEANINGS]
    return '\n'.join(('exit codes:', *lines))
