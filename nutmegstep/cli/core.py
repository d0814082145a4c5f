"""Parses the command line and runs a command."""

import argparse
import sys

from nutmegstep.cli import serve

__all__ = ['main']


def main() -> None:
    """Parse the arguments, run a command and exit with its code."""
    parser = argparse.ArgumentParser(prog='nutmegstep')
    commands = parser.add_subparsers(required=True)
    serve.add_parser(commands)
    arguments = parser.parse_args()
    sys.exit(arguments.run(arguments))
