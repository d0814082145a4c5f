"""Passes outcomes of target requests and leases to routing and warm-up."""

from typing import Final

from nutmegstep.engine.effects import Effect, ReportWarm
from nutmegstep.engine.events import (
    FailureKind,
    LeasesChanged,
    TargetAnswered,
    TargetConnectionsClosed,
    TargetConnectionsLost,
    TargetFailed,
    TargetReportedWarm,
)
from nutmegstep.engine.state import AttemptState, EngineState

__all__ = [
    'cold_targets_to_lease',
    'on_connections_closed',
    'on_connections_lost',
    'on_leases_changed',
    'on_target_reported_warm',
    'record_answer',
    'record_failure',
]

# A target that answered that it is draining receives no new request for this
# long. By then a target that comes back under this name has restarted.
_LEAVING_SECONDS: Final = 10

# A target whose connections were lost, and whose boot identifier was not
# confirmed since, is tried again after this time. By then a VM with a lease
# has warmed it up, if it did restart.
_UNCONFIRMED_RETRY_SECONDS: Final = 60

_FAILED_KINDS: Final = frozenset(
    (
        FailureKind.CONNECT,
        FailureKind.RESET,
        FailureKind.INVALID,
        FailureKind.ERROR,
    ),
)
_UNANSWERED_KINDS: Final = frozenset((FailureKind.TIMEOUT, FailureKind.SILENT))


def on_leases_changed(
    state: EngineState,
    event: LeasesChanged,
    now: float,
    effects: list[Effect],
) -> None:
    """Replace the leases of this VM for cold targets."""
    state.warmup.set_leases(event.lease_expiry_by_target, now)
    state.recheck_waiting = True


def on_target_reported_warm(
    state: EngineState,
    event: TargetReportedWarm,
    now: float,
    effects: list[Effect],
) -> None:
    """Record that a peer has reported a target as warm."""
    state.warmup.record_warm_report(event.target, event.boot_id, now)
    state.recheck_waiting = True


def on_connections_lost(
    state: EngineState,
    event: TargetConnectionsLost,
    now: float,
    effects: list[Effect],
) -> None:
    """Treat a target that may have restarted as cold until it is confirmed."""
    if event.target in state.fleet.targets_by_name:
        # The random part keeps the VMs from retrying at the same time.
        retry_after = _UNCONFIRMED_RETRY_SECONDS * (1 + state.random.random())
        state.warmup.mark_unconfirmed(event.target, now, retry_after)
        # Waiting shards may have lost their last candidate.
        state.recheck_waiting = True


def on_connections_closed(
    state: EngineState,
    event: TargetConnectionsClosed,
    now: float,
    effects: list[Effect],
) -> None:
    """Send the next request to a target alone.

    Its answer shows whether the target has restarted.
    """
    if event.target in state.fleet.targets_by_name:
        state.warmup.record_disconnect(event.target)


def cold_targets_to_lease(state: EngineState, now: float) -> frozenset[str]:
    """Return the cold targets for which this VM should request leases.

    Parameters
    ----------
    state : EngineState
        Not changed.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    frozenset of str
        Targets in the failure domain of this VM that are not known to be
        warm, and neither withdrawn nor draining.
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
    """Record an answer; report the target to the peers if it became warm."""
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
    """Record a failed request for routing and warm-up."""
    if event.kind is FailureKind.DRAINING:
        until = now + _LEAVING_SECONDS
        state.leaving_until_by_target[attempt.target] = until
    stats = state.targets.stats_by_name.get(attempt.target)
    target = state.fleet.targets_by_name.get(attempt.target)
    if stats is None or target is None:
        return
    if event.kind is FailureKind.SHED:
        stats.record_shed()
        state.warmup.record_shed(target, event.boot_id, now)
    elif event.kind in _UNANSWERED_KINDS:
        stats.record_cancelled(now - attempt.started)
    elif event.kind in _FAILED_KINDS:
        stats.record_failure()
