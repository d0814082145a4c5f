"""Opens the operator interface of entry VMs for a command."""

import argparse
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from nutmegstep.cli.operators import OperatorInterface
from nutmegstep.cli.options import tls_files
from nutmegstep.cli.peer_calls import PeerInterface

__all__ = ['operator_interface']


@asynccontextmanager
async def operator_interface(
    arguments: argparse.Namespace,
) -> AsyncIterator[OperatorInterface]:
    """Yield the operator interface and close its channels afterwards.

    Parameters
    ----------
    arguments : argparse.Namespace
        Result of a parser that `add_entry` has extended.
    """
    interface = PeerInterface(tls_files(arguments))
    try:
        yield interface
    finally:
        await interface.close()
