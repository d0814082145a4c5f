"""Connections and waiting requests of one target."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import (
    FailureKind,
    TargetConnectionsClosed,
    TargetConnectionsLost,
)
from nutmegstep.model import Target
from nutmegstep.targets.connection import OutcomeCallback, TargetConnection
from nutmegstep.targets.idle import IdleConnections

__all__ = [
    'DisconnectCallback',
    'DisconnectEvent',
    'TargetGroup',
    'WaitingRequest',
    'same_address',
]

DisconnectEvent = TargetConnectionsClosed | TargetConnectionsLost
DisconnectCallback = Callable[[DisconnectEvent], None]
"""Takes the news that no connection to a target is open any more."""

_CONNECT_TIMEOUT_S: Final = 1.0  # seconds; the same as TCP_USER_TIMEOUT


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a connection."""

    effect: SendToTarget
    on_outcome: OutcomeCallback


def same_address(left: Target, right: Target) -> bool:
    """Return whether two declarations lead to the same server process."""
    return (left.host, left.port) == (right.host, right.port)


class TargetGroup:
    """State of the pool for one target.

    Parameters
    ----------
    target : Target
        The target.
    clock : Clock
        Gives the age of connections.
    on_change : Callable
        Called when a connection became idle or was closed.
    on_disconnect : Callable
        Called when the last open connection is gone.

    Attributes
    ----------
    limit : int
        Most open connections.
    established : set of TargetConnection
        All established connections.
    busy : set of TargetConnection
        Connections with a request in flight.
    waiting : dict
        Requests in order of arrival, by attempt identifier.
    """

    def __init__(
        self,
        target: Target,
        clock: Clock,
        on_change: Callable[['TargetGroup'], None],
        on_disconnect: DisconnectCallback,
    ) -> None:
        self.target = target
        self.limit = 1
        self.established: set[TargetConnection] = set()
        self.idle = IdleConnections(clock)
        self.busy: set[TargetConnection] = set()
        self.waiting: dict[int, WaitingRequest] = {}
        self._clock = clock
        self._on_change = on_change
        self._on_disconnect = on_disconnect
        self._opening_shared = 0
        self._opening_fresh: set[int] = set()
        self._is_detached = False

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        opening = self._opening_shared + len(self._opening_fresh)
        return len(self.established) + opening

    def first_waiting(self) -> WaitingRequest | None:
        """Return the oldest request that takes any connection."""
        return next(
            (
                waiting
                for waiting in self.waiting.values()
                if not waiting.effect.fresh_connection
            ),
            None,
        )

    def needs_connection(self) -> bool:
        """Return whether another connection should be opened."""
        shared = len(self.waiting) - len(self._opening_fresh)
        return shared > self._opening_shared and self.open_count < self.limit

    def add_opening(self, attempt_id: int | None) -> None:
        """Count a connection that is being opened.

        Parameters
        ----------
        attempt_id : int or None
            The attempt that asked for a fresh connection; None when any
            waiting request may take the connection.
        """
        if attempt_id is None:
            self._opening_shared += 1
        else:
            self._opening_fresh.add(attempt_id)

    def remove_opening(self, attempt_id: int | None) -> None:
        """Undo `add_opening`."""
        if attempt_id is None:
            self._opening_shared -= 1
        else:
            self._opening_fresh.discard(attempt_id)

    async def connect(self) -> TargetConnection:
        """Open a connection.

        Raises
        ------
        OSError
            The target cannot be reached within the connect timeout.
        """
        address = (self.target.host, self.target.port)
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: TargetConnection(
                    '{0}:{1}'.format(*address).encode(),
                    self._on_idle,
                    partial(self.remove, TargetConnectionsLost),
                    partial(self.remove, TargetConnectionsClosed),
                ),
                *address,
            )
        connection.opened_at = self._clock.monotonic()
        self.established.add(connection)
        return connection

    def requests_without_connection(
        self,
        attempt_id: int | None,
    ) -> list[WaitingRequest]:
        """Return the requests that fail with a failed connect.

        When no other connection is left or on its way, all of them fail;
        waiting for one connect timeout each would exceed their deadlines.
        """
        if attempt_id is not None:
            own = self.waiting.get(attempt_id)
            return [own] if own else []
        if self.open_count == 0:
            return list(self.waiting.values())
        first = self.first_waiting()
        return [first] if first else []

    def close_silent(self, answered: TargetConnection, limit: float) -> None:
        """Close older connections that stayed silent.

        Parameters
        ----------
        answered : TargetConnection
            Fresh connection that has just had its first answer.
        limit : float
            Shortest silence in seconds.
        """
        latest = min(self._clock.monotonic() - limit, answered.opened_at)
        silent = [
            connection
            for connection in self.busy
            if connection.silent_since is not None
            and connection.silent_since <= latest
        ]
        for connection in silent:
            connection.fail(FailureKind.SILENT)

    def put_idle(self, connection: TargetConnection) -> None:
        """Keep a connection for reuse, unless the target has moved."""
        self.busy.discard(connection)
        if self._is_detached:
            connection.fail(FailureKind.RESET)
        else:
            self.idle.put(connection)

    def detach(self) -> None:
        """Close idle connections now and busy ones after their answer."""
        self._is_detached = True
        self.idle.close_all()

    def close(self) -> None:
        """Close all connections; requests in flight fail as cancelled."""
        self.detach()
        for connection in tuple(self.established):
            connection.fail(FailureKind.CANCELLED)

    def remove(
        self,
        event: type[DisconnectEvent],
        connection: TargetConnection,
    ) -> None:
        """Forget a connection and report when it was the last one.

        Parameters
        ----------
        event : type
            Which side closed the connection.
        connection : TargetConnection
            The connection; one that was forgotten before is ignored.
        """
        self.busy.discard(connection)
        self.idle.discard(connection)
        if connection in self.established:
            self.established.discard(connection)
            if not self.established and not self._is_detached:
                self._on_disconnect(event(self.target.name))
        self._on_change(self)

    def _on_idle(self, connection: TargetConnection) -> None:
        self.put_idle(connection)
        self._on_change(self)
