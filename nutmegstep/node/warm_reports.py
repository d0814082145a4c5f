"""Reports of warm targets between VMs."""

from typing import Final

from nutmegstep.engine.events import TargetReportedWarm
from nutmegstep.node.state import NodeState
from nutmegstep.peers import WarmReport
from nutmegstep.warmup import EARLY_REPORT_SECONDS

__all__ = ['forget_warm', 'learn_warm', 'record_warm', 'reports_since']

_MILLISECONDS: Final = 1000
_AGE_MAX: Final = 2**32 - 1
# milliseconds, bound of the message field
# An answer of the former process may be handled so much later than the loss
# of its connections is seen elsewhere.
_REPORT_MARGIN_SECONDS: Final = 0.25


def learn_warm(
    state: NodeState,
    reports: tuple[WarmReport, ...],
    now: float,
) -> None:
    """Take warm reports of a peer; each new one becomes an engine event."""
    for report in reports:
        lost_at = state.forgotten_by_target.get(report.target)
        if lost_at is None or _is_later(report, lost_at, now):
            record_warm(state, report, now)


def _is_later(report: WarmReport, lost_at: float, now: float) -> bool:
    """Return whether a report is about the time after a loss.

    Notes
    -----
    A peer without connections to the target repeats what it learned before
    the restart, so the age of the report decides. The engine ignores
    reports in the first second; the peer repeats them for longer.
    """
    seen_at = now - report.age_ms / _MILLISECONDS
    early = now - lost_at < EARLY_REPORT_SECONDS
    return not early and seen_at >= lost_at + _REPORT_MARGIN_SECONDS


def record_warm(state: NodeState, report: WarmReport, now: float) -> None:
    """Keep a warm report, pass it on and emit an event when it is new."""
    if state.boot_by_target.get(report.target) == report.boot_id:
        return
    state.forgotten_by_target.pop(report.target, None)
    state.boot_by_target[report.target] = report.boot_id
    seen_at = now - report.age_ms / _MILLISECONDS
    state.learned_by_target[report.target] = seen_at
    state.emit(TargetReportedWarm(report.target, report.boot_id))


def forget_warm(state: NodeState, target: str, now: float) -> None:
    """Forget a warm target whose connections were lost.

    Notes
    -----
    Reports of peers count again after a second: earlier ones may have been
    sent before the restart that closed the connections.
    """
    state.boot_by_target.pop(target, None)
    state.learned_by_target.pop(target, None)
    state.forgotten_by_target[target] = now


def reports_since(
    state: NodeState,
    oldest: float,
    now: float,
) -> tuple[WarmReport, ...]:
    """Return what was learned at an instant or later, oldest names first."""
    return tuple(
        WarmReport(
            target,
            boot_id,
            _age_ms(now - state.learned_by_target[target]),
        )
        for target, boot_id in sorted(state.boot_by_target.items())
        if state.learned_by_target[target] >= oldest
    )


def _age_ms(seconds: float) -> int:
    return min(_AGE_MAX, max(0, round(seconds * _MILLISECONDS)))
