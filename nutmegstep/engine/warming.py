"""Feeds the outcomes of target requests to routing and warm-up."""

from typing import Final

from nutmegstep.engine.effects import Effect, ReportWarm
from nutmegstep.engine.events import (
    LeasesChanged,
    FailureKind,
    TargetAnswered,
    TargetConnectionsClosed,
    TargetConnectionsLost,
    TargetFailed,
    TargetReportedWarm,
)
from nutmegstep.engine.state import AttemptState, EngineState

__all__ = [
    'cold_targets_to_lease',
    'on_leases_changed',
    'on_connections_closed',
    'on_connections_lost',
    'on_target_reported_warm',
    'record_answer',
    'record_failure',
]

# A target that said that it is leaving gets no new work for this long; one
# that comes back under the same name has restarted by then.
_LEAVING_SECONDS: Final = 10

# By then a VM with a promise has warmed up a target that did restart.
_UNCONFIRMED_RETRY_SECONDS: Final = 60

_BROKEN: Final = frozenset(
    (
        FailureKind.CONNECT,
        FailureKind.RESET,
        FailureKind.INVALID,
        FailureKind.ERROR,
    ),
)
_UNANSWERED: Final = frozenset((FailureKind.TIMEOUT, FailureKind.SILENT))


def on_leases_changed(
    state: EngineState,
    event: LeasesChanged,
    now: float,
    effects: list[Effect],
) -> None:
    """Take over the promises for cold targets."""
    state.warmup.set_leases(event.lease_expiry_by_target, now)
    state.recheck_waiting = True


def on_target_reported_warm(
    state: EngineState,
    event: TargetReportedWarm,
    now: float,
    effects: list[Effect],
) -> None:
    """Believe a peer that a target is warm."""
    state.warmup.record_warm_report(event.target, event.boot_id, now)
    state.recheck_waiting = True


def on_connections_lost(
    state: EngineState,
    event: TargetConnectionsLost,
    now: float,
    effects: list[Effect],
) -> None:
    """Take a target that may have restarted like a cold one."""
    if event.target in state.fleet.targets_by_name:
        # The random part keeps the VMs from asking at the same time.
        retry_after = _UNCONFIRMED_RETRY_SECONDS * (1 + state.random.random())
        state.warmup.mark_unconfirmed(event.target, now, retry_after)
        # Waiting shards may have lost the last replica that they may use.
        state.recheck_waiting = True


def on_connections_closed(
    state: EngineState,
    event: TargetConnectionsClosed,
    now: float,
    effects: list[Effect],
) -> None:
    """Let the next request to a target go alone."""
    if event.target in state.fleet.targets_by_name:
        state.warmup.record_disconnect(event.target)


def cold_targets_to_lease(state: EngineState, now: float) -> frozenset[str]:
    """Return the cold targets to which this VM would send.

    Parameters
    ----------
    state : EngineState
        Not changed.
    now : float
        Monotonic instant in seconds.

    Returns
    -------
    frozenset of str
        Targets in the failure domain of this VM that are not known as warm
        and neither withdrawn nor draining.
    """
    if state.failure_domain in state.withdrawn_domains:
        return frozenset()
    leaving_until = state.leaving_until_by_target
    return frozenset(
        name
        for name, target in state.fleet.targets_by_name.items()
        if target.failure_domain == state.failure_domain
        and name not in state.draining_targets
        and leaving_until.get(name, 0) <= now
        and not state.warmup.is_warm(name)
    )


def record_answer(
    state: EngineState,
    attempt: AttemptState,
    event: TargetAnswered,
    now: float,
    effects: list[Effect],
) -> None:
    """Count an answer of a target."""
    target = state.fleet.targets_by_name.get(attempt.target)
    if target is None:
        return
    seconds = now - attempt.started
    state.targets.stats_by_name[target.name].record_answer(seconds)
    warmup = state.warmup
    confirmed = warmup.confirm_boot_id(
        target.name, event.boot_id, attempt.started
    )
    ramped = warmup.record_answer(target, event.boot_id, seconds, now)
    if confirmed or ramped:
        effects.append(ReportWarm(target.name, event.boot_id))
        state.recheck_waiting = True


def record_failure(
    state: EngineState,
    attempt: AttemptState,
    event: TargetFailed,
    now: float,
) -> None:
    """Count a failed request of a target."""
    if event.kind is FailureKind.DRAINING:
        until = now + _LEAVING_SECONDS
        state.leaving_until_by_target[attempt.target] = until
    stats = state.targets.stats_by_name.get(attempt.target)
    if stats is None:
        return
    if event.kind is FailureKind.SHED:
        stats.record_shed()
        state.warmup.record_shed(attempt.target, event.boot_id, now)
    elif event.kind in _UNANSWERED:
        stats.record_cancelled(now - attempt.started)
    elif event.kind in _BROKEN:
        stats.record_failure()
