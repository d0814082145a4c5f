"""Keeps gRPC's notes on refused handshakes out of logs and command output."""

import os
from typing import Final

__all__ = ['GRPC_VERBOSITY']

# gRPC writes each refused handshake to standard error as plain text, between
# JSON log lines. It reads the variable when it is imported, so this module
# comes first; a value of the environment stays in force.
GRPC_VERBOSITY: Final = os.environ.setdefault('GRPC_VERBOSITY', 'ERROR')
