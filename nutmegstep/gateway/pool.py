"""Connections to targets and the sends that use them."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

import h11

from nutmegstep.clock import Clock
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import FailureKind, RoutedRequest
from nutmegstep.gateway.codec import WireCodec
from nutmegstep.gateway.pooled_connection import PooledConnection, SendOutcome

__all__ = ['ConnectionPool', 'SendCallback']

SendCallback = Callable[[SendRequest, SendOutcome], None]
"""Takes the outcome of a send, exactly once."""

_MILLISECONDS: Final = 1000
_LONG_MILLISECONDS: Final = 100
_STEP_MILLISECONDS: Final = 10
"""A tenth of the shortest time that is rounded, in which a VM sends a query to
all its shards."""
_CONNECT_TIMEOUT: Final = 0.25
"""Seconds for a new connection; a few round trips and the target's work on
it take less than a tenth of this."""


@dataclass(slots=True)
class _Group:
    """Connections and waiting sends of one target."""

    target: TargetRecord
    idle: list[PooledConnection] = field(default_factory=list)
    open_count: int = 0
    connecting: int = 0
    waiting: dict[int, SendRequest] = field(default_factory=dict)


@dataclass(slots=True)
class _Pending:
    """A send without an outcome."""

    effect: SendRequest
    group: _Group
    timer: asyncio.TimerHandle
    channel: PooledConnection | None = None


class ConnectionPool:
    """Sends requests over reused connections.

    A request that may run only once takes a new connection, because a target
    can close a kept one while the request is under way, and nobody knows
    then whether it ran.

    Parameters
    ----------
    clock : Clock
        Gives the instant that is compared with deadlines.
    codec : WireCodec
        Builds the headers of a send.
    report : SendCallback
        Takes the outcome of each send.
    """

    def __init__(
        self, clock: Clock, codec: WireCodec, report: SendCallback
    ) -> None:
        self.connections_opened = 0
        self._clock = clock
        self._codec = codec
        self._report = report
        self._group_by_address: dict[tuple[str, str, int], _Group] = {}
        self._pending_by_id: dict[int, _Pending] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._shared_key = (0, 0)
        self._shared_head: h11.Request | None = None

    def send(self, effect: SendRequest) -> None:
        """Send now, or as soon as a connection is free."""
        group = self._group_of(effect.target)
        timer = asyncio.get_running_loop().call_later(
            effect.expires - self._clock.monotonic(),
            self._expire,
            effect.send_id,
        )
        pending = _Pending(effect, group, timer)
        self._pending_by_id[effect.send_id] = pending
        channel = self._take_idle(group) if effect.is_repeatable else None
        if channel is not None:
            self._hand_over(channel, pending)
            return
        group.waiting[effect.send_id] = effect
        self._open_if_needed(group, effect.connection_limit)

    def cancel(self, send_id: int) -> None:
        """End a send; its outcome is `FailureKind.CANCELLED`."""
        self._end(send_id, FailureKind.CANCELLED, FailureKind.CANCELLED)

    def drop_target(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for (name, _, _), group in tuple(self._group_by_address.items()):
            if name == target_id:
                _close_all(group.idle)
                group.idle = []
                self._forget_if_empty(group)

    def close(self) -> None:
        """Close everything; sends under way are cancelled."""
        for task in tuple(self._tasks):
            task.cancel()
        for send_id in tuple(self._pending_by_id):
            self.cancel(send_id)
        for group in tuple(self._group_by_address.values()):
            _close_all(group.idle)

    def _group_of(self, target: TargetRecord) -> _Group:
        key = _address_of(target)
        group = self._group_by_address.get(key)
        if group is None:
            group = _Group(target)
            self._group_by_address[key] = group
        return group

    def _take_idle(self, group: _Group) -> PooledConnection | None:
        now = asyncio.get_running_loop().time()
        while group.idle:
            channel = group.idle.pop()
            if channel.is_reusable(now):
                return channel
            channel.fail(FailureKind.CANCELLED)
        return None

    def _open_if_needed(self, group: _Group, limit: int) -> None:
        if group.connecting >= len(group.waiting):
            return
        if group.open_count + group.connecting >= limit:
            if not group.idle:
                return
            # A new connection replaces an idle one.
            group.idle.pop(0).fail(FailureKind.CANCELLED)
        group.connecting += 1
        task = asyncio.get_running_loop().create_task(self._open(group))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, group: _Group) -> None:
        loop = asyncio.get_running_loop()
        self.connections_opened += 1
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT):
                _, channel = await loop.create_connection(
                    lambda: PooledConnection(
                        lambda free: self._free(group, free),
                        lambda closed: self._closed(group, closed),
                    ),
                    group.target.host,
                    group.target.port,
                )
        except (OSError, TimeoutError):
            group.connecting -= 1
            self._fail_waiting(group)
            return
        group.connecting -= 1
        group.open_count += 1
        self._free(group, channel, is_new=True)

    def _free(
        self,
        group: _Group,
        channel: PooledConnection,
        is_new: bool = False,
    ) -> None:
        channel.idle_since = asyncio.get_running_loop().time()
        effect = _next_waiting(group, is_new)
        if effect is None:
            group.idle.append(channel)
            if group.waiting:
                first = next(iter(group.waiting.values()))
                self._open_if_needed(group, first.connection_limit)
            return
        group.waiting.pop(effect.send_id)
        self._hand_over(channel, self._pending_by_id[effect.send_id])

    def _hand_over(self, channel: PooledConnection, pending: _Pending) -> None:
        effect = pending.effect
        pending.channel = channel
        head = self._head_of(effect, channel)
        if head is None:
            channel.fail(FailureKind.CANCELLED)
            self._finish(effect.send_id, FailureKind.INVALID)
            return
        channel.send(
            head,
            effect.request.body,
            lambda outcome: self._finish(effect.send_id, outcome),
        )

    def _head_of(
        self,
        effect: SendRequest,
        channel: PooledConnection,
    ) -> h11.Request | None:
        # The sends of a query over many shards differ in the expected target
        # only, and a connection on which it has answered cannot lead to
        # another one. So most of them share a head that is checked once.
        seconds_left = effect.expires - self._clock.monotonic()
        milliseconds = _round_down(seconds_left)
        key = (effect.request.request_id, milliseconds)
        if channel.has_answered and key == self._shared_key:
            return self._shared_head
        expected = '' if channel.has_answered else effect.target.target_id
        head = self._build_head(effect.request, milliseconds, expected)
        if channel.has_answered:
            self._shared_key = key
            self._shared_head = head
        return head

    def _build_head(
        self,
        request: RoutedRequest,
        milliseconds: int,
        expected: str,
    ) -> h11.Request | None:
        headers = self._codec.request_headers(request, milliseconds, expected)
        try:
            return h11.Request(
                method=request.method,
                target=request.target,
                headers=list(headers),
            )
        except h11.LocalProtocolError:
            return None

    def _closed(self, group: _Group, channel: PooledConnection) -> None:
        group.open_count -= 1
        if channel in group.idle:
            group.idle.remove(channel)
        if group.waiting:
            first = next(iter(group.waiting.values()))
            self._open_if_needed(group, first.connection_limit)
        self._forget_if_empty(group)

    def _fail_waiting(self, group: _Group) -> None:
        for send_id in tuple(group.waiting):
            self._end(send_id, FailureKind.CONNECT, FailureKind.CONNECT)

    def _expire(self, send_id: int) -> None:
        self._end(send_id, FailureKind.CONNECT, FailureKind.TIMEOUT)

    def _end(
        self,
        send_id: int,
        unsent: FailureKind,
        sent: FailureKind,
    ) -> None:
        pending = self._pending_by_id.get(send_id)
        if pending is None:
            return
        if pending.channel is not None:
            pending.channel.fail(sent)
            return
        pending.group.waiting.pop(send_id, None)
        self._finish(send_id, unsent)

    def _finish(self, send_id: int, outcome: SendOutcome) -> None:
        pending = self._pending_by_id.pop(send_id)
        pending.timer.cancel()
        self._report(pending.effect, outcome)

    def _forget_if_empty(self, group: _Group) -> None:
        if group.open_count or group.connecting or group.waiting:
            return
        self._group_by_address.pop(_address_of(group.target), None)


def _round_down(seconds_left: float) -> int:
    """Return milliseconds; long times in steps that many sends share."""
    milliseconds = max(1, int(seconds_left * _MILLISECONDS))
    if milliseconds < _LONG_MILLISECONDS:
        return milliseconds
    return milliseconds - milliseconds % _STEP_MILLISECONDS


def _address_of(target: TargetRecord) -> tuple[str, str, int]:
    return (target.target_id, target.host, target.port)


def _next_waiting(group: _Group, is_new: bool) -> SendRequest | None:
    usable = (
        effect
        for effect in group.waiting.values()
        if is_new or effect.is_repeatable
    )
    return next(usable, None)


def _close_all(channels: Iterable[PooledConnection]) -> None:
    for channel in tuple(channels):
        channel.fail(FailureKind.CANCELLED)
