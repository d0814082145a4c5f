"""Functions through which the target pool reads the engine state."""

from nutmegstep.engine import EngineState
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind
from nutmegstep.hedging import silence_timeout
from nutmegstep.runtime.control_check import build_control_check
from nutmegstep.targets import SendCheck, SilenceLimit

__all__ = ['send_check', 'silence_limit']


def send_check(state: EngineState) -> SendCheck:
    """Return the check that the target pool makes directly before a write.

    Parameters
    ----------
    state : EngineState
        State of the reducer, read at each call.

    Notes
    -----
    Between the reducer's decision and the write, a request may have waited
    for a connection or the VM may have been paused. Meanwhile the lease of a
    cold target may have expired, or a withdrawal or drain may have arrived.
    """
    check_control = build_control_check(state)

    def check(effect: SendToTarget, now: float) -> FailureKind | None:
        denial = check_control(effect, now)
        if denial is not None:
            return denial
        if state.warmup.is_warm_or_leased(effect.target, now):
            return None
        return FailureKind.NO_CONNECTION

    return check


def silence_limit(state: EngineState) -> SilenceLimit:
    """Return the function that gives the silence limit of a target.

    The limit is the time in seconds after which a target that sends no byte of
    a response counts as silent. It depends on the mean latency of the target.

    Parameters
    ----------
    state : EngineState
        State of the reducer, read at each call.
    """

    def limit(target: str) -> float:
        stats = state.targets.stats_by_name.get(target)
        return silence_timeout(stats.latency if stats else 0)

    return limit
