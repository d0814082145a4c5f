"""Pool of connections with a bound for each target."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from nutmegstep.clock import Clock
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind, TargetFailed
from nutmegstep.model import Target
from nutmegstep.targets.connection import OutcomeCallback, TargetConnection

__all__ = ['TargetPool']


@dataclass(frozen=True, slots=True)
class _Waiting:
    effect: SendToTarget
    on_outcome: OutcomeCallback


@dataclass(slots=True)
class _TargetConnections:
    """Connections to one target."""

    target: Target
    limit: int
    idle: list[TargetConnection] = field(default_factory=list)
    open_count: int = 0
    waiting: deque[_Waiting] = field(default_factory=deque)


class TargetPool:
    """Sends target requests over reused connections.

    Parameters
    ----------
    clock : Clock
        Gives the time left until a deadline.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_target: dict[str, _TargetConnections] = {}
        self._connection_by_attempt: dict[int, TargetConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self,
        effect: SendToTarget,
        target: Target,
        limit: int,
        on_outcome: OutcomeCallback,
    ) -> None:
        """Send now, or when a connection of the target becomes free.

        Parameters
        ----------
        effect : SendToTarget
            The request.
        target : Target
            Where to send it.
        limit : int
            Most open connections of this VM to the target.
        on_outcome : Callable
            Takes the outcome exactly once, unless the attempt is cancelled.
        """
        connections = self._by_target.setdefault(
            target.name,
            _TargetConnections(target, limit),
        )
        connections.waiting.append(_Waiting(effect, on_outcome))
        self._advance(connections)

    def cancel(self, attempt_id: int) -> None:
        """Close the connection of an attempt; its outcome is not reported."""
        connection = self._connection_by_attempt.pop(attempt_id, None)
        if connection is not None:
            connection.abort()
            return
        for connections in self._by_target.values():
            connections.waiting = deque(
                waiting
                for waiting in connections.waiting
                if waiting.effect.attempt_id != attempt_id
            )

    async def close(self) -> None:
        """Close all idle connections and wait for pending connects."""
        for connections in self._by_target.values():
            for connection in tuple(connections.idle):
                connection.abort()
        for task in tuple(self._tasks):
            task.cancel()

    def _advance(self, connections: _TargetConnections) -> None:
        while connections.waiting and connections.idle:
            self._hand_over(connections, connections.idle.pop())
        missing = len(connections.waiting)
        if missing and connections.open_count < connections.limit:
            connections.open_count += 1
            task = asyncio.get_running_loop().create_task(
                self._connect(connections),
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _hand_over(
        self,
        connections: _TargetConnections,
        connection: TargetConnection,
    ) -> None:
        waiting = connections.waiting.popleft()
        attempt_id = waiting.effect.attempt_id
        self._connection_by_attempt[attempt_id] = connection

        def report(outcome) -> None:  # type: ignore[no-untyped-def]
            self._connection_by_attempt.pop(attempt_id, None)
            waiting.on_outcome(outcome)

        timeout = waiting.effect.deadline - self._clock.monotonic()
        connection.send(waiting.effect, timeout, report)

    async def _connect(self, connections: _TargetConnections) -> None:
        target = connections.target
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: TargetConnection(
                    f'{target.host}:{target.port}',
                    lambda idle: self._on_idle(connections, idle),
                    lambda closed: self._on_closed(connections, closed),
                ),
                target.host,
                target.port,
            )
        except OSError:
            connections.open_count -= 1
            self._fail_first(connections)
            return
        self._on_idle(connections, connection)

    def _on_idle(
        self,
        connections: _TargetConnections,
        connection: TargetConnection,
    ) -> None:
        connections.idle.append(connection)
        self._advance(connections)

    def _on_closed(
        self,
        connections: _TargetConnections,
        connection: TargetConnection,
    ) -> None:
        connections.open_count -= 1
        if connection in connections.idle:
            connections.idle.remove(connection)
        self._advance(connections)

    def _fail_first(self, connections: _TargetConnections) -> None:
        if connections.waiting:
            waiting = connections.waiting.popleft()
            waiting.on_outcome(
                TargetFailed(
                    waiting.effect.attempt_id,
                    FailureKind.CONNECT,
                    may_have_run=False,
                ),
            )
        self._advance(connections)
