"""Pool of HTTP connections to targets, with a limit for each target."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import (
    FailureKind,
    TargetConnectionsClosed,
    TargetConnectionsLost,
    TargetFailed,
)
from nutmegstep.model import Target
from nutmegstep.targets.connection import OutcomeCallback, TargetConnection
from nutmegstep.targets.group import (
    ConnectionGroup,
    DisconnectCallback,
    DisconnectEvent,
    WaitingRequest,
    same_address,
)
from nutmegstep.targets.wire import Outcome
from nutmegstep.web.turns import TurnQueue

__all__ = ['SendCheck', 'SilenceLimit', 'TargetPool']

SendCheck = Callable[[SendToTarget, float], FailureKind | None]
"""Returns why a request must not be sent at a monotonic time in seconds, or
None if it may be sent."""

SilenceLimit = Callable[[str], float]
"""Returns how long a target may leave a request without a byte of response, in
seconds, before its connection may be closed as silent."""

_SILENCE_LIMIT_S: Final = 0.05
_WAITING_MAX: Final = 64
"""Maximum number of requests that wait for a connection to one target."""


class TargetPool:
    """Sends target requests over reused connections.

    A request without a free connection waits in the queue of its target,
    first in, first out.

    Parameters
    ----------
    clock : Clock
        Clock that deadlines and connection ages refer to.
    check : SendCheck, optional
        Decides whether a request may still be sent. It is called directly
        before the write, without a switch to another task in between. By
        default every request may be sent.
    silence_limit : SilenceLimit, optional
        Time without a byte of response after which a connection may be
        closed as silent; 50 ms by default.
    waiting_max : int, optional
        Maximum number of requests that wait for a connection to one target.
        Further ones fail with `FailureKind.NO_CONNECTION`.

    Attributes
    ----------
    on_disconnect : DisconnectCallback
        Called when the last open connection to a target has been closed or
        a connection attempt was refused; does nothing by default.
    """

    def __init__(
        self,
        clock: Clock,
        check: SendCheck | None = None,
        silence_limit: SilenceLimit | None = None,
        waiting_max: int = _WAITING_MAX,
    ) -> None:
        self.on_disconnect: DisconnectCallback = _ignore_disconnect
        self._turns = TurnQueue()
        self._clock = clock
        self._check = check or _allow_send
        self._silence_limit = silence_limit or _default_silence_limit
        self._waiting_max = waiting_max
        self._group_by_target: dict[str, ConnectionGroup] = {}
        self._group_by_waiting_attempt: dict[int, ConnectionGroup] = {}
        self._connection_by_attempt: dict[int, TargetConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self,
        effect: SendToTarget,
        target: Target,
        limit: int,
        on_outcome: OutcomeCallback,
    ) -> None:
        """Send a request now, or when a connection becomes available.

        A request with ``fresh_connection`` gets a connection of its own. At
        the limit the oldest idle connection is closed to make room; without
        one the request fails with `FailureKind.NO_CONNECTION`.

        Parameters
        ----------
        effect : SendToTarget
            The request.
        target : Target
            The target that serves the request.
        limit : int
            Maximum number of open connections of this VM to the target.
        on_outcome : Callable
            Called exactly once with the outcome; possibly before this method
            returns.
        """
        group = self._find_group(target, limit)
        waiting = WaitingRequest(effect, on_outcome)
        if effect.fresh_connection:
            self._send_fresh(group, waiting)
            return
        idle = None if group.waiting else group.idle.pop()
        if idle:
            self._send_on(group, idle, waiting)
        elif len(group.waiting) < self._waiting_max:
            self._enqueue(group, waiting)
            self._serve_waiting(group)
        else:
            _fail_unsent(waiting, FailureKind.NO_CONNECTION)

    def cancel(self, attempt_id: int) -> None:
        """Fail an attempt with `FailureKind.CANCELLED`.

        An attempt in flight loses its connection. An attempt that still
        waits for a connection is removed from the queue and reported as not
        executed. An unknown attempt is ignored.

        Parameters
        ----------
        attempt_id : int
            Identifier of the attempt.
        """
        connection = self._connection_by_attempt.get(attempt_id)
        if connection is not None:
            connection.fail(FailureKind.CANCELLED)
            return
        group = self._group_by_waiting_attempt.pop(attempt_id, None)
        if group is not None:
            waiting = group.waiting.pop(attempt_id)
            _fail_unsent(waiting, FailureKind.CANCELLED)

    def close(self) -> None:
        """Close all connections; unfinished requests fail as cancelled."""
        for task in tuple(self._tasks):
            task.cancel()
        for group in tuple(self._group_by_target.values()):
            waiting = tuple(group.waiting.values())
            self._fail_waiting(group, waiting, FailureKind.CANCELLED)
            group.close()

    def _find_group(self, target: Target, limit: int) -> ConnectionGroup:
        group = self._group_by_target.get(target.name)
        if group is not None and not same_address(group.target, target):
            # The target has moved: waiting requests must not be sent to its
            # old address.
            queued = tuple(group.waiting.values())
            self._fail_waiting(group, queued, FailureKind.CANCELLED)
            group.detach()
            group = None
        if group is None:
            group = ConnectionGroup(
                target,
                self._clock,
                self._serve_waiting,
                self._report_disconnect,
                self._turns,
            )
            self._group_by_target[target.name] = group
        group.limit = limit
        return group

    def _send_fresh(
        self, group: ConnectionGroup, waiting: WaitingRequest
    ) -> None:
        if group.open_count >= group.limit and group.idle:
            oldest = group.idle.close_oldest()
            group.remove(TargetConnectionsClosed, oldest)
        if group.open_count >= group.limit:
            _fail_unsent(waiting, FailureKind.NO_CONNECTION)
            return
        self._enqueue(group, waiting)
        self._start_connect(group, waiting.effect.attempt_id)

    def _enqueue(self, group: ConnectionGroup, waiting: WaitingRequest) -> None:
        attempt_id = waiting.effect.attempt_id
        group.waiting[attempt_id] = waiting
        self._group_by_waiting_attempt[attempt_id] = group

    def _serve_waiting(self, group: ConnectionGroup) -> None:
        while group.idle:
            waiting = group.first_waiting()
            connection = group.idle.pop() if waiting else None
            if waiting is None or connection is None:
                break
            self._send_on(group, connection, waiting)
        if group.needs_connection():
            self._start_connect(group, None)

    def _send_on(
        self,
        group: ConnectionGroup,
        connection: TargetConnection,
        waiting: WaitingRequest,
    ) -> None:
        effect = waiting.effect
        attempt_id = effect.attempt_id
        if group.waiting.pop(attempt_id, None) is not None:
            self._group_by_waiting_attempt.pop(attempt_id)
        now = self._clock.monotonic()
        denial = _find_denial(self._check, effect, now)
        if denial is not None:
            group.put_idle(connection)
            _fail_unsent(waiting, denial)
            return
        self._connection_by_attempt[attempt_id] = connection
        group.busy.add(connection)

        def report(outcome: Outcome) -> None:
            del self._connection_by_attempt[attempt_id]
            if connection.response_count == 1:
                limit = self._silence_limit(group.target.name)
                group.close_silent(connection, limit)
            waiting.on_outcome(outcome)

        connection.send(effect, now, report)

    def _start_connect(
        self, group: ConnectionGroup, attempt_id: int | None
    ) -> None:
        group.add_opening(attempt_id)
        task = asyncio.get_running_loop().create_task(
            self._connect(group, attempt_id),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(
        self,
        group: ConnectionGroup,
        attempt_id: int | None,
    ) -> None:
        try:
            connection = await group.connect()
        except OSError as error:
            group.remove_opening(attempt_id)
            refused = isinstance(error, ConnectionError)
            self._on_connect_failed(group, attempt_id, refused=refused)
            return
        group.remove_opening(attempt_id)
        waiting = None if attempt_id is None else group.waiting.get(attempt_id)
        if waiting is None:
            group.put_idle(connection)
        else:
            self._send_on(group, connection, waiting)
        self._serve_waiting(group)

    def _on_connect_failed(
        self,
        group: ConnectionGroup,
        attempt_id: int | None,
        *,
        refused: bool,
    ) -> None:
        failed = group.requests_without_connection(attempt_id)
        others = tuple(group.waiting.values()) if refused else ()
        if refused:
            self.on_disconnect(TargetConnectionsLost(group.target.name))
        self._fail_waiting(group, failed, FailureKind.CONNECT)
        self._fail_waiting(group, others, FailureKind.NO_CONNECTION)
        self._serve_waiting(group)

    def _report_disconnect(self, event: DisconnectEvent) -> None:
        group = self._group_by_target[event.target]
        # The engine chose the target for these requests when it was known to
        # be warm. After a restart it is cold, so they must not be sent.
        waiting = tuple(group.waiting.values())
        self.on_disconnect(event)
        if isinstance(event, TargetConnectionsLost):
            self._fail_waiting(group, waiting, FailureKind.NO_CONNECTION)

    def _fail_waiting(
        self,
        group: ConnectionGroup,
        failed: Iterable[WaitingRequest],
        kind: FailureKind,
    ) -> None:
        for waiting in failed:
            # A callback of an earlier iteration may have cancelled this
            # request already.
            attempt_id = waiting.effect.attempt_id
            if group.waiting.pop(attempt_id, None):
                self._group_by_waiting_attempt.pop(attempt_id)
                _fail_unsent(waiting, kind)


def _find_denial(
    check: SendCheck,
    effect: SendToTarget,
    now: float,
) -> FailureKind | None:
    if now >= effect.deadline:
        return FailureKind.TIMEOUT
    return check(effect, now)


def _allow_send(effect: SendToTarget, now: float) -> None:
    """Allow every send."""


def _ignore_disconnect(event: DisconnectEvent) -> None:
    """Ignore closed connections."""


def _default_silence_limit(target: str) -> float:
    return _SILENCE_LIMIT_S


def _fail_unsent(waiting: WaitingRequest, kind: FailureKind) -> None:
    waiting.on_outcome(
        TargetFailed(waiting.effect.attempt_id, kind, may_have_run=False),
    )
