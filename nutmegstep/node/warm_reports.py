"""Warm reports, by which VMs tell each other which targets are warm.

A VM that sees a target become warm reports it in its heartbeats, so that the
other VMs may send to the target without a lease.
"""

from typing import Final

from nutmegstep.engine.events import TargetReportedWarm
from nutmegstep.node.state import NodeState
from nutmegstep.peers import WarmReport
from nutmegstep.warmup import EARLY_REPORT_SECONDS

__all__ = ['forget_warm', 'record_warm', 'record_warm_reports', 'reports_since']

_MILLISECONDS: Final = 1000
_MAX_AGE_MS: Final = 2**32 - 1
"""Largest value of the message field for the age."""

# Another VM may handle an answer that a target sent before a restart up to this
# much later than this VM sees its connections close.
_REPORT_MARGIN_SECONDS: Final = 0.25


def record_warm_reports(
    state: NodeState,
    reports: tuple[WarmReport, ...],
    now: float,
) -> None:
    """Record the warm reports of a peer and emit an event for each new one.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    reports : tuple of WarmReport
        Reports of the peer.
    now : float
        Monotonic time in seconds.
    """
    for report in reports:
        lost_at = state.connections_lost_at_by_target.get(report.target)
        if lost_at is None or _is_later(report, lost_at, now):
            record_warm(state, report, now)


def _is_later(report: WarmReport, lost_at: float, now: float) -> bool:
    """Return whether a report is about the time after a connection loss.

    Notes
    -----
    A peer that has no connection to the target does not notice a restart and
    still repeats an earlier report. So the age of the report decides, not the
    time at which it arrives. In the first second after the loss the engine
    ignores reports, so they must not be recorded as known here; the peer
    repeats them for longer than that.
    """
    seen_at = now - report.age_ms / _MILLISECONDS
    early = now - lost_at < EARLY_REPORT_SECONDS
    return not early and seen_at >= lost_at + _REPORT_MARGIN_SECONDS


def record_warm(state: NodeState, report: WarmReport, now: float) -> None:
    """Record a warm report and emit an event if it is new.

    A new report is also sent to the other VMs with the next heartbeats.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    report : WarmReport
        Report of this VM or of a peer.
    now : float
        Monotonic time in seconds.
    """
    if state.warm_boot_id_by_target.get(report.target) == report.boot_id:
        return
    state.connections_lost_at_by_target.pop(report.target, None)
    state.warm_boot_id_by_target[report.target] = report.boot_id
    seen_at = now - report.age_ms / _MILLISECONDS
    state.warm_seen_at_by_target[report.target] = seen_at
    state.emit(TargetReportedWarm(report.target, report.boot_id))


def forget_warm(state: NodeState, target: str, now: float) -> None:
    """Remove the warm report of a target whose connections were lost.

    Parameters
    ----------
    state : NodeState
        Changed in place.
    target : str
        Name of the target.
    now : float
        Monotonic time in seconds at which the connections were lost.

    Notes
    -----
    The loss may mean that the target has restarted. Reports of peers that
    arrive in the next second are ignored, because they may have been sent
    before the restart.
    """
    state.warm_boot_id_by_target.pop(target, None)
    state.warm_seen_at_by_target.pop(target, None)
    state.connections_lost_at_by_target[target] = now


def reports_since(
    state: NodeState,
    oldest: float,
    now: float,
) -> tuple[WarmReport, ...]:
    """Return the reports of targets seen as warm since a time, sorted by name.

    Parameters
    ----------
    state : NodeState
        Not changed.
    oldest : float
        Monotonic time in seconds; targets that were last seen as warm before
        it are left out.
    now : float
        Monotonic time in seconds.
    """
    return tuple(
        WarmReport(
            target,
            boot_id,
            _age_ms(now - state.warm_seen_at_by_target[target]),
        )
        for target, boot_id in sorted(state.warm_boot_id_by_target.items())
        if state.warm_seen_at_by_target[target] >= oldest
    )


def _age_ms(seconds: float) -> int:
    return min(_MAX_AGE_MS, max(0, round(seconds * _MILLISECONDS)))
