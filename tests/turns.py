"""Counts the parsing steps between two turns of the event loop."""

import asyncio
from types import TracebackType
from typing import Self

import h11
import pytest

_NEXT_EVENT = h11.Connection.next_event


class ParsingCounter:
    """Counts the events that all parsers return in one turn of the loop.

    Attributes
    ----------
    most_in_a_turn : int
        Largest number so far.
    total : int
        Events of all turns.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.most_in_a_turn = 0
        self.total = 0
        self._count = 0
        self._monkeypatch = monkeypatch
        self._ticker: asyncio.Task[None]

    async def __aenter__(self) -> Self:
        """Begin to count."""
        counter = self

        def next_event(parser: h11.Connection) -> object:
            counter._count += 1
            counter.total += 1
            return _NEXT_EVENT(parser)

        self._monkeypatch.setattr(h11.Connection, 'next_event', next_event)
        self._ticker = asyncio.create_task(self._tick())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        stack: TracebackType | None,
    ) -> None:
        """Stop counting."""
        self._ticker.cancel()
        self._monkeypatch.undo()
        self._end_turn()

    async def _tick(self) -> None:
        while True:
            self._end_turn()
            await asyncio.sleep(0)

    def _end_turn(self) -> None:
        self.most_in_a_turn = max(self.most_in_a_turn, self._count)
        self._count = 0
