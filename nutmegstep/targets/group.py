"""Connections to one target and the requests that wait for them."""

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
from nutmegstep.web.turns import TurnQueue

__all__ = [
    'ConnectionGroup',
    'DisconnectCallback',
    'DisconnectEvent',
    'WaitingRequest',
    'same_address',
]

DisconnectEvent = TargetConnectionsClosed | TargetConnectionsLost
DisconnectCallback = Callable[[DisconnectEvent], None]
"""Called with the event when the last open connection to a target closes."""

_CONNECT_TIMEOUT_S: Final = 1.0
"""Longest time for opening a connection; equal to the time after which the
kernel closes an established one whose sent bytes are not acknowledged."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a connection.

    Parameters
    ----------
    effect : SendToTarget
        The request.
    on_outcome : Callable
        Called exactly once with the outcome.
    """

    effect: SendToTarget
    on_outcome: OutcomeCallback


def same_address(left: Target, right: Target) -> bool:
    """Return whether two targets have the same host and port."""
    return (left.host, left.port) == (right.host, right.port)


class ConnectionGroup:
    """Connections and queued requests of the pool for one target.

    Parameters
    ----------
    target : Target
        The target.
    clock : Clock
        Clock of the times at which connections open and become idle.
    on_change : Callable
        Called with this group when a connection became idle or was closed,
        so that a waiting request may be served.
    on_disconnect : Callable
        Called when the last open connection has been closed.
    turns : TurnQueue
        Connections with received bytes that are not parsed yet.

    Attributes
    ----------
    limit : int
        Maximum number of connections that are open or being opened.
    established : set of TargetConnection
        All established connections, idle and busy.
    idle : IdleConnections
        Established connections without a request in flight.
    busy : set of TargetConnection
        Established connections with a request in flight.
    waiting : dict
        Requests that wait for a connection, in order of arrival, by attempt
        identifier.
    """

    def __init__(
        self,
        target: Target,
        clock: Clock,
        on_change: Callable[['ConnectionGroup'], None],
        on_disconnect: DisconnectCallback,
        turns: TurnQueue,
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
        self._turns = turns
        self._opening_shared = 0
        self._opening_fresh: set[int] = set()
        self._is_detached = False

    @property
    def open_count(self) -> int:
        """Number of connections that are established or being opened."""
        opening = self._opening_shared + len(self._opening_fresh)
        return len(self.established) + opening

    def first_waiting(self) -> WaitingRequest | None:
        """Return the oldest waiting request that may reuse a connection."""
        return next(
            (
                waiting
                for waiting in self.waiting.values()
                if not waiting.effect.fresh_connection
            ),
            None,
        )

    def needs_connection(self) -> bool:
        """Return whether another shared connection should be opened.

        That is the case when more requests wait than connections are being
        opened for them and the limit allows one more.
        """
        shared = len(self.waiting) - len(self._opening_fresh)
        return shared > self._opening_shared and self.open_count < self.limit

    def add_opening(self, attempt_id: int | None) -> None:
        """Record that a connection is being opened.

        Parameters
        ----------
        attempt_id : int or None
            The attempt that requires a fresh connection; None when any
            waiting request may use the connection.
        """
        if attempt_id is None:
            self._opening_shared += 1
        else:
            self._opening_fresh.add(attempt_id)

    def remove_opening(self, attempt_id: int | None) -> None:
        """Record that an attempt to open a connection has ended.

        Parameters
        ----------
        attempt_id : int or None
            The value that was given to `add_opening`.
        """
        if attempt_id is None:
            self._opening_shared -= 1
        else:
            self._opening_fresh.discard(attempt_id)

    async def connect(self) -> TargetConnection:
        """Open a connection and add it to the established ones.

        Raises
        ------
        OSError
            The connection was refused, or not established within 1 s.
        """
        address = (self.target.host, self.target.port)
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: TargetConnection(
                    '{0}:{1}'.format(*address).encode(),
                    self._on_idle,
                    partial(self.remove, TargetConnectionsLost),
                    partial(self.remove, TargetConnectionsClosed),
                    self._turns,
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
        """Return the waiting requests that a failed connect makes fail.

        A failed fresh connection affects only the request that required it.
        Otherwise the oldest request that may reuse a connection fails. If no
        other connection is established or being opened, all waiting requests
        fail, because one connect timeout after another would exceed their
        deadlines.

        Parameters
        ----------
        attempt_id : int or None
            The attempt that required a fresh connection; None when any
            waiting request could have used the connection.
        """
        if attempt_id is not None:
            waiting = self.waiting.get(attempt_id)
            return [waiting] if waiting else []
        if self.open_count == 0:
            return list(self.waiting.values())
        first = self.first_waiting()
        return [first] if first else []

    def close_silent(self, newer: TargetConnection, limit: float) -> None:
        """Close connections that are silent while a newer one responds.

        Requests on them fail with `FailureKind.SILENT`. A connection is
        silent when its request was sent before the newer connection was
        established, at least `limit` ago, and no byte of a response has
        arrived.

        Parameters
        ----------
        newer : TargetConnection
            Connection that has just received its first response.
        limit : float
            Minimum time without a byte of response, in seconds.
        """
        latest = min(self._clock.monotonic() - limit, newer.opened_at)
        silent = [
            connection
            for connection in self.busy
            if connection.silent_since is not None
            and connection.silent_since <= latest
        ]
        for connection in silent:
            connection.fail(FailureKind.SILENT)

    def put_idle(self, connection: TargetConnection) -> None:
        """Keep a connection for reuse; close it if the group is detached."""
        self.busy.discard(connection)
        if self._is_detached:
            connection.fail(FailureKind.RESET)
        else:
            self.idle.put(connection)

    def detach(self) -> None:
        """Close idle connections now and busy ones after their response.

        Used when the address of the target has changed.
        """
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
        """Remove a closed connection; report it if it was the last one.

        Parameters
        ----------
        event : type
            Event to report: `TargetConnectionsLost` when the target closed
            the connection, `TargetConnectionsClosed` when this VM did.
        connection : TargetConnection
            The connection; nothing is reported if it was removed before.
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
