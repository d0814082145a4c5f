"""Tests of the check at the send."""

from random import Random

import pytest

from nutmegstep.engine import EngineState
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind
from nutmegstep.model import Fleet, Target
from nutmegstep.runtime import build_control_check


@pytest.mark.parametrize(
    ('withdrawn', 'draining', 'expected'),
    [
        (set(), set(), None),
        ({'d'}, set(), FailureKind.NO_CONNECTION),
        (set(), {'t'}, FailureKind.DRAINING),
    ],
)
def test_control_state_is_read_at_the_send(
    withdrawn,
    draining,
    expected,
) -> None:
    """Guards against sends after a withdrawal or drain (G4, G8)."""
    state = EngineState('d', Random(1))
    check = build_control_check(state)
    effect = SendToTarget(1, 1, 't', 's', 1, b'', 1, '')
    assert check(effect, 0) is FailureKind.NO_CONNECTION
    target = Target('t', '127.0.0.1', 1, 'd', 1, 1, 9)
    state.fleet = Fleet(1, {}, {'t': target}, 2, {})
    state.withdrawn_domains = frozenset(withdrawn)
    state.draining_targets = frozenset(draining)
    assert check(effect, 0) is expected
