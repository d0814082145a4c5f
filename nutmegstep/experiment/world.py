"""Simulated time and the events that wait for their instant."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ['World']


class World:
    """Runs callbacks in the order of their instants.

    Attributes
    ----------
    now : float
        Current instant in seconds.

    Examples
    --------
    >>> world, seen = World(), []
    >>> world.after(2, lambda: seen.append('late'))
    >>> world.after(1, lambda: seen.append('early'))
    >>> world.run(until=5)
    >>> seen, world.now
    (['early', 'late'], 5)
    """

    def __init__(self) -> None:
        self.now = float(0)
        self._order = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after some time."""
        entry = (self.now + max(0, seconds), next(self._order), callback)
        heapq.heappush(self._due, entry)

    def run(self, until: float) -> None:
        """Run all callbacks up to an instant."""
        while self._due and self._due[0][0] <= until:
            instant, _, callback = heapq.heappop(self._due)
            self.now = instant
            callback()
        self.now = until
