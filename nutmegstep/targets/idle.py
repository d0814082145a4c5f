"""Idle connections to one target."""

import asyncio
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.engine.events import FailureKind
from nutmegstep.targets.connection import TargetConnection

__all__ = ['IdleConnections']

_IDLE_TIMEOUT_S: Final = 15.0


class IdleConnections:
    """Stack of idle connections, closed after 15 s without use.

    Parameters
    ----------
    clock : Clock
        Clock of the idle times.

    Notes
    -----
    The connection that became idle last is reused first (LIFO). Connections
    that a burst of requests needed but the steady load does not are then
    left unused and expire. One timer serves all connections of a target.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest_last: list[TargetConnection] = []
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._newest_last)

    def put(self, connection: TargetConnection) -> None:
        """Add a connection that has become idle."""
        connection.idle_since = self._clock.monotonic()
        self._newest_last.append(connection)
        if self._timer is None:
            self._schedule(_IDLE_TIMEOUT_S)

    def pop(self) -> TargetConnection | None:
        """Remove and return the open connection that became idle last.

        Returns
        -------
        TargetConnection or None
            None when there is no open connection.
        """
        while self._newest_last:
            connection = self._newest_last.pop()
            if connection.is_open:
                return connection
        return None

    def discard(self, connection: TargetConnection) -> None:
        """Remove a connection without closing it, if it is idle."""
        if connection in self._newest_last:
            self._newest_last.remove(connection)

    def close_oldest(self) -> TargetConnection:
        """Close and return the connection that has been idle the longest."""
        connection = self._newest_last.pop(0)
        connection.fail(FailureKind.RESET)
        return connection

    def close_expired(self) -> None:
        """Close connections that have been idle for 15 s."""
        self._timer = None
        expiry = self._clock.monotonic() - _IDLE_TIMEOUT_S
        while self._newest_last and self._newest_last[0].idle_since <= expiry:
            self.close_oldest()
        if self._newest_last:
            self._schedule(self._newest_last[0].idle_since - expiry)

    def close_all(self) -> None:
        """Close all connections and stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._newest_last:
            self.close_oldest()

    def _schedule(self, delay: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            delay,
            self.close_expired,
        )
