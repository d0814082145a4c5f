"""Test of the counts that the tests of real processes rely on."""

from random import Random

import orjson

from nutmegstep.standins.control import ServedTarget, control_handler
from nutmegstep.standins.target import TargetSettings, TargetStandIn
from nutmegstep.standins.target_server import OpenConnections
from nutmegstep.web import HttpRequest


async def test_report_counts_executions_of_a_marker() -> None:
    """Guards against a report that fails as soon as a marked request ran."""
    target = TargetStandIn(TargetSettings('t'), Random(1), {})
    target.counts.executions_by_marker['m'] += 1
    handle = control_handler({'t': ServedTarget(target, OpenConnections())})
    reply = await handle(HttpRequest('GET', '/targets', {}, {}, b''))
    report = orjson.loads(reply.body)
    assert report['t']['executions_by_marker'] == {'m': 1}
