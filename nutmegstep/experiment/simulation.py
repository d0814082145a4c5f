"""Discrete-event simulation: simulated time and its scheduled callbacks."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ['Simulation']


class Simulation:
    """Runs scheduled callbacks in the order of simulated time.

    Callbacks that are due at the same time run in the order in which they were
    scheduled.

    Attributes
    ----------
    now : float
        Simulated time in seconds.

    Examples
    --------
    >>> simulation, calls = Simulation(), []
    >>> simulation.call_later(2, lambda: calls.append('late'))
    >>> simulation.call_later(1, lambda: calls.append('early'))
    >>> simulation.run(until=5)
    >>> calls, simulation.now
    (['early', 'late'], 5)
    """

    def __init__(self) -> None:
        self.now = float(0)
        self._order = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedule a callback.

        Parameters
        ----------
        seconds : float
            Simulated time from now; a negative value counts as 0.
        callback : Callable
            Function to call.
        """
        entry = (self.now + max(0, seconds), next(self._order), callback)
        heapq.heappush(self._due, entry)

    def run(self, until: float) -> None:
        """Run the callbacks that are due up to a simulated time in seconds."""
        while self._due and self._due[0][0] <= until:
            instant, _, callback = heapq.heappop(self._due)
            self.now = instant
            callback()
        self.now = until
