"""Reports about targets, sent to neighbours and taken from them."""

from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import Decision, Effect, ReportSuspect
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.suspicion import is_worth_reporting

__all__ = ['record_report', 'report_target']


_LOCAL_REPORTER: Final = ''
"""Name of this VM as a reporter; neighbours have addresses."""
_MIN_INTERVAL_SECONDS: Final = 1e-6
"""Seconds; keeps the rate finite for requests that arrive together."""


def report_target(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> list[Effect]:
    """Report one target, if this VM asks its service rarely."""
    if not is_worth_reporting(state.request_interval_of(target.service)):
        return []
    if state.health_of(target).suspicion.was_recently_reported(now):
        return []
    report = ReportSuspect(target.target_id)
    return [report, *record_report(state, target, now, _LOCAL_REPORTER)]


def record_report(
    state: DispatchState,
    target: TargetRecord,
    now: float,
    reporter: str,
) -> list[Effect]:
    """Take a report of this VM or of another one."""
    interval = max(
        state.request_interval_of(target.service), _MIN_INTERVAL_SECONDS
    )
    suspicion = state.health_of(target).suspicion
    if not suspicion.record_report(
        now, state.vms_in_domain / interval, reporter
    ):
        return []
    inputs = {'target': target.target_id, 'service': target.service}
    return [Decision('target_suspected', '', inputs)]
