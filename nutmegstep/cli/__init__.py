"""Command line interface."""

from nutmegstep.cli.core import main

__all__ = ['main']
