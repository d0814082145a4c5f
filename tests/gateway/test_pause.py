"""Detection of a pause of the process."""

from random import Random

import pytest

from nutmegstep.clock import ManualClock
from nutmegstep.dispatch.control_events import HousekeepingDue
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.gateway import Gateway, GatewayMetrics
from nutmegstep.platform.wire import CODEC
from tests.dispatch.conftest import Dispatcher

_HOUSEKEEPING_SECONDS = 0.5


@pytest.mark.parametrize(('seconds', 'resumed'), [(1.0, 0), (4.0, 1)])
async def test_gap_between_events_is_a_pause(
    seconds: float, resumed: int
) -> None:
    """A suspended or stopped process finds its clock ahead when it wakes, and
    must not take the first request on what it knew before.
    """
    clock = ManualClock(monotonic=100)
    limits = Dispatcher().state.limits
    state = DispatchState('north', limits, Random(1), started=100)
    gateway = Gateway(state, clock, CODEC, GatewayMetrics())
    calls: list[float] = []
    gateway.on_resumed = lambda: calls.append(clock.monotonic())
    for _ in range(10):
        clock.advance(_HOUSEKEEPING_SECONDS)
        gateway.dispatch(HousekeepingDue())
    assert not calls
    clock.advance(seconds)
    gateway.dispatch(HousekeepingDue())
    assert len(calls) == resumed
    assert (state.refresh_until > clock.monotonic()) == bool(resumed)
