"""Bounds on the parsing that one connection causes in one turn of the event loop.

The peer decides how many parsing steps the bytes of one read take: 256 KB may be one
step, or 43,000 for a body in chunks of one byte. All other connections, and all
timers, wait meanwhile.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import h11

from nutmegstep.web.statuses import check_status

__all__ = ['EVENTS_PER_TURN', 'ReceivedBytes', 'TurnQueue']

EVENTS_PER_TURN: Final = 32
"""Most events of a parser that a connection handles in one turn. An ordinary
message has about five."""
_PIECE_BYTES: Final = 4096
"""Most bytes that a parser gets at once. It parses a head in one step, and checks
its length only while it is incomplete."""

_Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class ReceivedBytes:
    """Received bytes that a parser has not been given yet."""

    def __init__(self) -> None:
        self._waiting = b''
        self._position = 0

    def __bool__(self) -> bool:
        """Return whether bytes wait for the parser."""
        return bool(self._waiting)

    @property
    def held_bytes(self) -> int:
        """Memory of the bytes that wait."""
        return len(self._waiting)

    def feed(self, parser: h11.Connection, data: bytes) -> None:
        """Give a parser the first piece of received bytes, and keep the others.

        Parameters
        ----------
        parser : h11.Connection
            The parser.
        data : bytes
            Received bytes; empty at the end of the stream, which must not come
            while bytes wait.

        Raises
        ------
        h11.RemoteProtocolError
            The stream violates HTTP/1.1.
        """
        if self._waiting:
            self._waiting = self._waiting[self._position :] + data
            self._position = 0
            return
        parser.receive_data(data[:_PIECE_BYTES])
        if len(data) > _PIECE_BYTES:
            self._waiting = data
            self._position = _PIECE_BYTES

    def next_event(self, parser: h11.Connection) -> _Event:
        """Return the next event of a parser, which gets further pieces for it.

        Raises
        ------
        h11.RemoteProtocolError
            The stream violates HTTP/1.1.
        """
        event = parser.next_event()
        while event is h11.NEED_DATA and self._waiting:
            parser.receive_data(self._take_piece())
            event = parser.next_event()
        check_status(event)
        return event

    def _take_piece(self) -> bytes:
        start = self._position
        self._position += _PIECE_BYTES
        piece = self._waiting[start : self._position]
        if self._position >= len(self._waiting):
            self._waiting = b''
        return piece


class TurnQueue:
    """Connections that go on parsing, one in each turn of the event loop.

    However many of them have bytes left, their parsing takes a bounded part of a
    turn.
    """

    def __init__(self) -> None:
        # A dictionary, as a connection waits at most once.
        self._waiting: dict[Callable[[], None], None] = {}
        self._is_scheduled = False

    def add(self, go_on: Callable[[], None]) -> None:
        """Call a function once, after those that wait already."""
        self._waiting[go_on] = None
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._is_scheduled = False
        go_on = next(iter(self._waiting))
        self._waiting.pop(go_on)
        self._schedule()
        go_on()
