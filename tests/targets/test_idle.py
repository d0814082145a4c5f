"""Tests of the stack of idle connections of a target."""

from unittest.mock import Mock

from nutmegstep.clock import ManualClock
from nutmegstep.engine.events import FailureKind
from nutmegstep.targets.idle import IdleConnections


async def test_newest_is_reused_and_oldest_expires() -> None:
    """Guards against idle connections that never expire.

    Reusing the oldest connection first would keep every connection of a past
    burst in use, so that none would reach the idle timeout of 15 s.
    """
    clock = ManualClock()
    idle = IdleConnections(clock)
    older, newer = Mock(is_open=True), Mock(is_open=True)
    idle.put(older)
    clock.advance(1)
    idle.put(newer)
    assert idle.pop() is newer
    idle.put(newer)
    clock.advance(14)
    idle.close_expired()
    older.fail.assert_called_once_with(FailureKind.RESET)
    newer.fail.assert_not_called()
    idle.close_all()
