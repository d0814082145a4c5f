"""Log level of gRPC, which must be set before gRPC is imported."""

import os
from typing import Final

__all__ = ['GRPC_VERBOSITY']

# Without this, gRPC writes a line of plain text about each refused handshake to
# standard error, between the JSON log lines and the output of commands. It reads
# the variable at its import, so this module must be imported before it. A value
# that is set in the environment stays in force.
GRPC_VERBOSITY: Final = os.environ.setdefault('GRPC_VERBOSITY', 'ERROR')
