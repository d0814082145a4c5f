"""Connections to one target, and the sends that wait for them."""

import asyncio
from dataclasses import dataclass, field

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import SendFailureKind
from nutmegstep.gateway.pooled_connection import PooledConnection

__all__ = ['PendingSend', 'TargetGroup', 'group_key', 'next_waiting']


@dataclass(slots=True)
class TargetGroup:
    """Connections to one target and the sends that wait for one of them."""

    target: TargetRecord
    idle: list[PooledConnection] = field(default_factory=list)
    open_count: int = 0
    connecting_count: int = 0
    waiting: dict[int, SendRequest] = field(default_factory=dict)

    def close_idle(self) -> None:
        """Close the idle connections."""
        # A connection that closes removes itself from the list.
        idle = self.idle
        self.idle = []
        for connection in idle:
            connection.fail(SendFailureKind.CANCELLED)


@dataclass(slots=True)
class PendingSend:
    """A send without an outcome; `connection` is None while it waits."""

    effect: SendRequest
    group: TargetGroup
    timer: asyncio.TimerHandle
    connection: PooledConnection | None = None


def group_key(target: TargetRecord) -> tuple[str, str, int]:
    """Return what tells the groups of targets apart: identifier and address."""
    return (target.target_id, target.host, target.port)


def next_waiting(group: TargetGroup, is_new: bool) -> SendRequest | None:
    """Return the first send that waits and may use a connection.

    A request that must not be repeated takes a new one only.
    """
    usable = (
        effect
        for effect in group.waiting.values()
        if is_new or effect.is_repeatable
    )
    return next(usable, None)
