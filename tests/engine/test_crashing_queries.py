"""A query that crashes the targets that run it."""

from collections.abc import Callable

import pytest

from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import (
    FailureKind,
    TargetConnectionsLost,
    TargetFailed,
    TargetReportedWarm,
)
from tests.engine.conftest import SHARDS, Engine

_CRASHES = 3
_TOLERATED_RETRIES = 3
_ADAPT_SECONDS = 4


def _run_and_crash(engine: Engine, query_id: int, now: float) -> int:
    """Let a query crash each target; return the number of crashes.

    All targets run before it.
    """
    for shard in SHARDS.values():
        for name in shard.replicas:
            engine.apply(TargetReportedWarm(name, f'boot-{query_id}'), now)
    engine.query(query_id, now, body=b'crash')
    sends = engine.effects_of(SendToTarget)
    crashes = 0
    while sends:
        send = sends.pop()
        crashes += 1
        failed = TargetFailed(
            send.attempt_id, FailureKind.RESET, may_have_run=True
        )
        engine.apply(failed, now)
        sends.extend(engine.effects_of(SendToTarget))
        engine.apply(TargetConnectionsLost(send.target), now)
    return crashes


@pytest.mark.known_red
@pytest.mark.xfail(raises=AssertionError, strict=True, reason='KNOWN-RED.txt')
def test_crashing_query_is_not_sent_on(build: Callable[..., Engine]) -> None:
    """Guards against a query that crashes one target after the other, as its
    attempts are not recognised.
    """
    engine = build()
    crashes = 0
    retries = 0
    adapted_at = float('inf')
    for query_id in range(1, 21):
        now = float(query_id)
        added = _run_and_crash(engine, query_id, now)
        retries += bool(added) and now > adapted_at
        crashes += added
        if crashes >= _CRASHES:
            adapted_at = min(adapted_at, now + _ADAPT_SECONDS)
    assert crashes >= _CRASHES
    assert retries <= _TOLERATED_RETRIES
