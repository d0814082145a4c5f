"""Check of a target request against the control state when it is sent."""

from collections.abc import Callable

from nutmegstep.engine import EngineState
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind

__all__ = ['build_control_check']


def build_control_check(
    state: EngineState,
) -> Callable[[SendToTarget, float], FailureKind | None]:
    """Return a check that `TargetPool` calls directly before each write.

    The check returns why a request must not be sent, or None: its target is
    no longer configured, is draining, or is in a withdrawn failure domain.

    Parameters
    ----------
    state : EngineState
        State of the engine, read at each call.

    Notes
    -----
    The reducer chose the target earlier. The request may have waited for a
    connection since then, and an operator may have started a drain or
    withdrawn the failure domain meanwhile.
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
