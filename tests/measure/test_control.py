"""Tests of the control measurement over loopback sockets."""

import pytest

from nutmegstep.measure.control_nodes import run_nodes
from nutmegstep.measure.control_platform import MeasuredPlatform
from nutmegstep.measure.control_times import measure_times
from nutmegstep.platform_api import ObjectClient

_TRIALS = (
    'publish, quiet',
    'configuration handed to one VM in an outage',
    'withdrawal, two domains cut off',
)


@pytest.mark.timeout(120)
async def test_each_change_reaches_every_node() -> None:
    """Guards against a trial that calls the product in an outdated way."""
    async with run_nodes(3, 1) as bench:
        for name in _TRIALS:
            times = await measure_times(bench, name, 1)
            assert len(times.seconds) == 1
        fleets = {node.plane.state.fleet.generation for node in bench.nodes}
        assert fleets == {bench.generation}


async def test_cut_platform_fails_each_call() -> None:
    """Guards against a cut-off node that can still read the platform.

    The times of the trials with a cut would then be those without one.
    """
    platform = MeasuredPlatform(ObjectClient('127.0.0.1', 1))
    platform.cut_off = True
    with pytest.raises(OSError, match='cut off'):
        await platform.get('config/fleet')
