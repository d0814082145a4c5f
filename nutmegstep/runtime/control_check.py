"""Checks a target request against the control state at the send."""

from collections.abc import Callable

from nutmegstep.engine import EngineState
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind

__all__ = ['build_control_check']


def build_control_check(
    state: EngineState,
) -> Callable[[SendToTarget, float], FailureKind | None]:
    """Return the check that `TargetPool` calls in the step of the write.

    Parameters
    ----------
    state : EngineState
        State of the reducer, read at each call.

    Notes
    -----
    The reducer made its choice earlier; a request may have waited for a
    connection since then, and a withdrawal or drain may have arrived.
    """

    def check(effect: SendToTarget, now: float) -> FailureKind | None:
        target = state.fleet.targets_by_name.get(effect.target)
        if target is None:
            return FailureKind.NO_CONNECTION
        if target.name in state.draining_targets:
            return FailureKind.DRAINING
        if target.failure_domain in state.withdrawn_domains:
            return FailureKind.NO_CONNECTION
        return None

    return check
