"""Tests of the check that runs when a target request is sent."""

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
    """Guards against sending to a withdrawn or draining target (G4, G8).

    The control state changes after the check was built, as it may while a
    request waits for a connection.
    """
    state = EngineState('d', Random(1))
    check = build_control_check(state)
    effect = SendToTarget(1, 1, 't', 's', 1, b'', 1, '')
    assert check(effect, 0) is FailureKind.NO_CONNECTION
    target = Target('t', '127.0.0.1', 1, 'd', 1, 1, 9)
    state.fleet = Fleet(1, {}, {'t': target}, 2, {})
    state.withdrawn_domains = frozenset(withdrawn)
    state.draining_targets = frozenset(draining)
    assert check(effect, 0) is expected
