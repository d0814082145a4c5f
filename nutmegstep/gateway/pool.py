"""Pool of keep-alive connections to targets."""

import asyncio
from collections.abc import Callable
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import SendFailureKind
from nutmegstep.gateway.codec import WireCodec
from nutmegstep.gateway.exchange import SendOutcome
from nutmegstep.gateway.pooled_connection import PooledConnection
from nutmegstep.gateway.request_heads import RequestHeads
from nutmegstep.gateway.response_memory import ResponseMemory
from nutmegstep.gateway.target_groups import (
    PendingSend,
    TargetGroup,
    group_key,
    next_waiting,
)
from nutmegstep.web.turns import TurnQueue

__all__ = ['ConnectionPool', 'SendCallback']

SendCallback = Callable[[SendRequest, SendOutcome], None]
"""Called once for each send with its outcome."""

ConfirmationCallback = Callable[[SendRequest], None]
"""Called when the receiver of a send confirms that it has read it."""

_CONNECT_TIMEOUT_S: Final = 0.25
"""Longest time for opening a connection. The round trips and the work of the
target take less than a tenth of it."""


class ConnectionPool:
    """Sends requests to targets over keep-alive connections.

    A request that must not be repeated takes a new connection. A target may
    close an idle connection while a request is on its way, and the gateway
    cannot tell then whether the request ran.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the sends' deadlines.
    codec : WireCodec
        Builds the headers of requests to targets.
    on_outcome : SendCallback
        Called once for each send with its outcome.
    on_confirmed : ConfirmationCallback, optional
        Called for each interim response to a send.

    Attributes
    ----------
    connections_opened : int
        Number of attempts to open a connection since the start.
    memory : ResponseMemory
        Bound on the bytes of responses that are being received.
    """

    def __init__(
        self,
        clock: Clock,
        codec: WireCodec,
        on_outcome: SendCallback,
        on_confirmed: ConfirmationCallback | None = None,
    ) -> None:
        self.connections_opened = 0
        self.memory = ResponseMemory()
        self._turns = TurnQueue()
        self._clock = clock
        self._heads = RequestHeads(clock, codec)
        self._on_outcome = on_outcome
        self._on_confirmed = on_confirmed or _ignore_confirmation
        self._group_by_key: dict[tuple[str, str, int], TargetGroup] = {}
        self._pending_by_id: dict[int, PendingSend] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, effect: SendRequest) -> None:
        """Send a request now, or as soon as a connection is free."""
        group = self._group_of(effect.target)
        timer = asyncio.get_running_loop().call_later(
            effect.expires_at - self._clock.monotonic(),
            self._expire_send,
            effect.send_id,
        )
        pending = PendingSend(effect, group, timer)
        self._pending_by_id[effect.send_id] = pending
        connection = self._take_idle(group) if effect.is_repeatable else None
        if connection is not None:
            self._start_send(connection, pending)
            return
        group.waiting[effect.send_id] = effect
        self._open_if_needed(group, effect.connection_limit)

    def cancel(self, send_id: int) -> None:
        """End a send.

        Its outcome is `SendFailureKind.CANCELLED`, or
        `SendFailureKind.NOT_WRITTEN` if it waited for a connection.
        """
        self._end_send(
            send_id, SendFailureKind.NOT_WRITTEN, SendFailureKind.CANCELLED
        )

    def drop_target(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for (name, _, _), group in tuple(self._group_by_key.items()):
            if name == target_id:
                group.close_idle()
                self._remove_if_empty(group)

    def return_sends(self, target_id: str) -> None:
        """End the sends that wait for a connection to a target.

        Their outcome is `SendFailureKind.NOT_WRITTEN`.
        """
        waiting = [
            send_id
            for (name, _, _), group in self._group_by_key.items()
            if name == target_id
            for send_id in group.waiting
        ]
        for send_id in waiting:
            self.cancel(send_id)

    def close(self) -> None:
        """Cancel all sends and close all connections."""
        for task in tuple(self._tasks):
            task.cancel()
        for send_id in tuple(self._pending_by_id):
            self.cancel(send_id)
        for group in tuple(self._group_by_key.values()):
            group.close_idle()

    def _group_of(self, target: TargetRecord) -> TargetGroup:
        key = group_key(target)
        group = self._group_by_key.get(key)
        if group is None:
            group = TargetGroup(target)
            self._group_by_key[key] = group
        return group

    def _take_idle(self, group: TargetGroup) -> PooledConnection | None:
        now = asyncio.get_running_loop().time()
        while group.idle:
            connection = group.idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.fail(SendFailureKind.CANCELLED)
        return None

    def _open_if_needed(self, group: TargetGroup, limit: int) -> None:
        if group.connecting_count >= len(group.waiting):
            return
        if group.open_count + group.connecting_count >= limit:
            if not group.idle:
                return
            # At the limit, close the longest idle connection for a new one.
            group.idle.pop(0).fail(SendFailureKind.CANCELLED)
        group.connecting_count += 1
        task = asyncio.get_running_loop().create_task(self._open(group))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, group: TargetGroup) -> None:
        loop = asyncio.get_running_loop()
        self.connections_opened += 1
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: PooledConnection(
                        lambda freed: self._on_connection_free(group, freed),
                        lambda closed: self._on_connection_closed(
                            group, closed
                        ),
                        self.memory,
                        self._turns,
                    ),
                    group.target.host,
                    group.target.port,
                )
        except (OSError, TimeoutError):
            group.connecting_count -= 1
            self._fail_waiting_sends(group)
            return
        group.connecting_count -= 1
        group.open_count += 1
        self._on_connection_free(group, connection, is_new=True)

    def _on_connection_free(
        self,
        group: TargetGroup,
        connection: PooledConnection,
        is_new: bool = False,
    ) -> None:
        connection.idle_since = asyncio.get_running_loop().time()
        effect = next_waiting(group, is_new)
        if effect is None:
            group.idle.append(connection)
            if group.waiting:
                first = next(iter(group.waiting.values()))
                self._open_if_needed(group, first.connection_limit)
            return
        group.waiting.pop(effect.send_id)
        self._start_send(connection, self._pending_by_id[effect.send_id])

    def _start_send(
        self, connection: PooledConnection, pending: PendingSend
    ) -> None:
        effect = pending.effect
        pending.connection = connection
        head = self._heads.head_of(effect, has_answered=connection.has_answered)
        if head is None:
            connection.fail(SendFailureKind.CANCELLED)
            self._finish_send(effect.send_id, SendFailureKind.NOT_WRITTEN)
            return
        connection.send(
            head,
            effect.request.body,
            lambda outcome: self._finish_send(effect.send_id, outcome),
            lambda: self._on_confirmed(effect),
        )

    def _on_connection_closed(
        self, group: TargetGroup, connection: PooledConnection
    ) -> None:
        group.open_count -= 1
        if connection in group.idle:
            group.idle.remove(connection)
        if group.waiting:
            first = next(iter(group.waiting.values()))
            self._open_if_needed(group, first.connection_limit)
        self._remove_if_empty(group)

    def _fail_waiting_sends(self, group: TargetGroup) -> None:
        for send_id in tuple(group.waiting):
            self._end_send(
                send_id, SendFailureKind.CONNECT, SendFailureKind.CONNECT
            )

    def _expire_send(self, send_id: int) -> None:
        self._end_send(
            send_id, SendFailureKind.CONNECT, SendFailureKind.TIMEOUT
        )

    def _end_send(
        self,
        send_id: int,
        kind_if_unsent: SendFailureKind,
        kind_if_sent: SendFailureKind,
    ) -> None:
        pending = self._pending_by_id.get(send_id)
        if pending is None:
            return
        if pending.connection is not None:
            pending.connection.fail(kind_if_sent)
            return
        pending.group.waiting.pop(send_id, None)
        self._finish_send(send_id, kind_if_unsent)

    def _finish_send(self, send_id: int, outcome: SendOutcome) -> None:
        pending = self._pending_by_id.pop(send_id)
        pending.timer.cancel()
        self._on_outcome(pending.effect, outcome)

    def _remove_if_empty(self, group: TargetGroup) -> None:
        if group.open_count or group.connecting_count or group.waiting:
            return
        self._group_by_key.pop(group_key(group.target), None)


def _ignore_confirmation(effect: SendRequest) -> None:
    """Do nothing; targets are not asked for a confirmation."""
