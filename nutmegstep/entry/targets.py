"""What the pool and the control plane ask the engine about targets."""

from nutmegstep.engine import EngineState
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import FailureKind
from nutmegstep.hedging import silence_timeout
from nutmegstep.runtime.control_check import build_control_check
from nutmegstep.targets import SendCheck, SilenceLimit

__all__ = ['send_check', 'silence_limit']


def send_check(state: EngineState) -> SendCheck:
    """Return the check that runs in the same step as the write.

    Notes
    -----
    Between the reducer's decision and the write a request may have waited
    for a connection, or the VM may have been paused; a promise for a cold
    target may have lapsed meanwhile.
    """
    check_leaving = build_control_check(state)

    def check(effect: SendToTarget, now: float) -> FailureKind | None:
        denial = check_leaving(effect, now)
        if denial is not None:
            return denial
        if state.warmup.is_warm_or_leased(effect.target, now):
            return None
        return FailureKind.NO_CONNECTION

    return check


def silence_limit(state: EngineState) -> SilenceLimit:
    """Return the function that gives a target's silence bound."""

    def limit(target: str) -> float:
        stats = state.targets.stats_by_name.get(target)
        return silence_timeout(stats.latency if stats else 0)

    return limit
