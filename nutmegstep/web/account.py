"""Account of the memory that peers can make a process hold.

It decides without a network: a holding that grows beyond what is free makes others
give up what they hold, those first that have held most for longest without progress.
A small fresh one is the last.
"""

import sys
from collections.abc import Callable
from typing import Final

__all__ = ['Holding', 'MemoryAccount']

_PROGRESS_BYTES: Final = 16 * 1024
"""Growth that counts as progress. A peer that trickles makes none."""
_FREED_AT_ONCE: Final = 1 / 32
"""Part of the account that is freed beyond what is needed, so that a full account
doesn't compare all holdings for each read."""


class Holding:
    """What one connection holds.

    Parameters
    ----------
    base : int
        Bytes that the connection takes while it waits for a request.
    give_up : Callable
        Called to make the connection hold its base only. It must call
        `MemoryAccount.resize` with what is left.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    size : int
        Bytes in the account.
    may_give_up : bool
        Whether the connection may be made to give up what it holds. It may not
        while its request is being handled, as that may have run.
    """

    __slots__ = ('base', 'give_up', 'may_give_up', 'size', '_mark', '_since')

    def __init__(
        self, base: int, give_up: Callable[[], None], now: float
    ) -> None:
        self.base = base
        self.give_up = give_up
        self.size = 0
        self.may_give_up = True
        self._mark = 0
        self._since = now

    def note_size(self, size: int, now: float) -> None:
        """Set the size, and note whether that is progress."""
        self.size = size
        if size < self._mark or size - self._mark >= _PROGRESS_BYTES:
            self._mark = size
            self._since = now

    def score(self, size: int, now: float) -> tuple[float, int]:
        """Return a key by which holdings give up, greatest first.

        Parameters
        ----------
        size : int
            Bytes that count as held.
        now : float
            Monotonic time in seconds.
        """
        above_base = size - self.base
        return (above_base * (now - self._since), above_base)


class MemoryAccount:
    """Bytes that the connections of a process hold together.

    Parameters
    ----------
    capacity : int, optional
        Most bytes; without it there is no bound.

    Attributes
    ----------
    held : int
        Bytes of all holdings, never above the capacity.
    most_held : int
        Most bytes that were held since the start.
    """

    def __init__(self, capacity: int = sys.maxsize) -> None:
        self.capacity = capacity
        self.held = 0
        self.most_held = 0
        # A dictionary keeps the order, so that decisions can be repeated.
        self._holdings: dict[Holding, None] = {}

    def open(self, holding: Holding, now: float) -> bool:
        """Add a holding with its base; return whether there is room for it."""
        self._holdings[holding] = None
        return self.resize(holding, holding.base, now)

    def close(self, holding: Holding) -> None:
        """Remove a holding."""
        if holding in self._holdings:
            self._holdings.pop(holding)
            self.held -= holding.size
            holding.size = 0

    def resize(self, holding: Holding, size: int, now: float) -> bool:
        """Change the size of a holding, if need be at the cost of others.

        Parameters
        ----------
        holding : Holding
            Holding that grows or shrinks.
        size : int
            New size in bytes.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if there is no room, because this holding is the first that
            has to give up, or no other may. Its size is then unchanged.
        """
        if holding not in self._holdings:
            # An answer may end just after its connection was lost.
            return True
        added = size - holding.size
        if self.held + added > self.capacity and added > 0:
            if not self._make_room(holding, size, now):
                return False
        self.held += size - holding.size
        self.most_held = max(self.most_held, self.held)
        holding.note_size(size, now)
        return True

    def _make_room(self, holding: Holding, size: int, now: float) -> bool:
        score_by_holding = {
            one: one.score(size if one is holding else one.size, now)
            for one in self._holdings
            if one is holding or (one.may_give_up and one.size > one.base)
        }
        others = sorted(
            score_by_holding, key=score_by_holding.__getitem__, reverse=True
        )
        spare = int(self.capacity * _FREED_AT_ONCE)
        for other in others:
            free = self.capacity - self.held - (size - holding.size)
            if other is holding or free >= spare:
                break
            other.give_up()
        return self.held + size - holding.size <= self.capacity
