"""Reads the declaration files of a command and prints their problems."""

import argparse
import sys

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.cli.output import print_outcome
from nutmegstep.declarations import collect_declarations
from nutmegstep.model import Fleet

__all__ = ['collect_paths']


def collect_paths(arguments: argparse.Namespace) -> Result[Fleet, ExitCode]:
    """Return the configuration declared in the files of `paths`.

    If they have problems, print these and return the exit code.
    """
    collected = collect_declarations(arguments.paths)
    if is_successful(collected):
        return Success(collected.unwrap())
    problems = [str(problem) for problem in collected.failure()]
    if arguments.json:
        print_outcome(arguments, {'problems': problems}, ())
    else:
        print('\n'.join(problems), file=sys.stderr)
    return Failure(ExitCode.INVALID)
