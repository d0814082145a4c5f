"""Phases of a connection, and the server as its request cycle sees it."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from nutmegstep.web.account import MemoryAccount
from nutmegstep.web.messages import (
    ErrorResponseBuilder,
    Handler,
    HeadFilter,
    HttpLimits,
)
from nutmegstep.web.turns import TurnQueue

__all__ = [
    'INCOMPLETE',
    'READING',
    'CloseReason',
    'Phase',
    'ServerContext',
    'SharedParts',
]


_READ_BYTES: Final = 64 * 1024
"""Most bytes that are read at once."""


@enum.unique
class CloseReason(enum.Enum):
    """Why a server closes a connection that has broken no rule.

    ``MEMORY`` means that the account of memory was full, ``DESCRIPTORS`` that a
    new connection needed the place of an idle one.
    """

    MEMORY = 'memory'
    DESCRIPTORS = 'descriptors'


def _ignore_closed(reason: CloseReason) -> None:
    """Count nothing."""


@dataclass(frozen=True, slots=True)
class SharedParts:
    """Parts that the connections of a server share.

    Parameters
    ----------
    account : MemoryAccount
        Bound on what the connections hold, which other servers may share. By
        default there is none.
    on_closed : Callable
        Called for each connection that is closed to make room for others.
    turns : TurnQueue
        Connections with received bytes that are not parsed yet.
    read_buffer : memoryview
        Memory into which all connections read, one after the other.
    """

    account: MemoryAccount = field(default_factory=MemoryAccount)
    on_closed: Callable[[CloseReason], None] = _ignore_closed
    turns: TurnQueue = field(default_factory=TurnQueue)
    read_buffer: memoryview = field(
        default_factory=lambda: memoryview(bytearray(_READ_BYTES))
    )


class ServerContext(Protocol):
    """Handler, limits and state of the server, as a request cycle sees them."""

    handler: Handler
    limits: HttpLimits
    head_filter: HeadFilter
    error_response: ErrorResponseBuilder
    draining: bool
    id_header: bytes

    @property
    def shared(self) -> SharedParts:
        """Parts that the connections share."""


@enum.unique
class Phase(enum.Enum):
    """What a connection waits for.

    ``IDLE`` waits for a request, ``HEAD`` for the rest of its head and
    ``BODY`` for the rest of its body. ``SKIPPING`` discards the body of a
    request that was answered from its head. ``BUSY`` waits for the handler.
    ``LINGERING`` waits for the peer to close the connection. Every phase but
    ``BUSY`` has a time limit.
    """

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    SKIPPING = 'skipping'
    BUSY = 'busy'
    LINGERING = 'lingering'


INCOMPLETE: Final = frozenset((Phase.HEAD, Phase.BODY))
READING: Final = INCOMPLETE | {Phase.IDLE, Phase.SKIPPING}
