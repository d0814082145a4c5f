"""Reports about slow targets, exchanged between neighbours.

Neighbours are the VMs of one failure domain.
"""

from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import Decision, Effect, ReportSuspect
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.dispatch.suspicion import is_worth_reporting

__all__ = ['record_report', 'report_target']


_LOCAL_REPORTER: Final = ''
"""Reporter name of this VM; neighbours are named by their addresses."""
_MIN_INTERVAL_SECONDS: Final = 1e-6
"""Lower bound of the request interval, which is zero when requests arrive at
the same time; keeps the request rate finite."""


def report_target(
    state: DispatchState,
    target: TargetRecord,
    now: float,
) -> list[Effect]:
    """Report a target to the neighbours if they need the report.

    Nothing is reported if this VM has many requests for the service, as its
    neighbours then recognise the target by their own requests, or if the
    target is already suspected and its latest report is recent.
    """
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
    """Record a report of this VM or of a neighbour.

    Returns
    -------
    list of Effect
        A decision to be logged if the report starts a suspicion, else empty.
    """
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
