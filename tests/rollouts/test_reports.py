"""Evidence from reports that are long, late or overtaken."""

from dataclasses import replace

from nutmegstep.dispatch.rollout_decider import add_report
from nutmegstep.dispatch.rollout_record import Rollout
from nutmegstep.rollouts import Phase, RolloutOrder, RolloutReport
from nutmegstep.rollouts.core import ReportRow

_FIRST = ReportRow('new-1', 'sweep', 10, 2)
_SECOND = ReportRow('new-2', 'sweep', 3, 0)
_REPORT = RolloutReport(
    'catalogue', 'v2', 1, Phase.TRIAL, 0, 1, 20, 1, (_FIRST, _SECOND)
)


def _rollout() -> Rollout:
    return Rollout(RolloutOrder('catalogue', 'v2', 12, 1), 0, 0)


def test_row_that_one_report_omits_counts_once() -> None:
    """Guards against answers that count twice, as a long report leaves rows out
    and the next one has them again.
    """
    rollout = _rollout()
    add_report(rollout, 'vm-2', _REPORT, 1)
    add_report(rollout, 'vm-2', replace(_REPORT, age=2, rows=(_FIRST,)), 2)
    add_report(rollout, 'vm-2', replace(_REPORT, age=3), 3)
    assert (rollout.pooled.good, rollout.pooled.bad) == (13, 2)


def test_overtaken_report_is_left_out() -> None:
    """Guards against answers that count twice, and a phase that is taken back, as
    datagrams arrive in another order.
    """
    rollout = _rollout()
    newer = replace(
        _REPORT,
        age=2,
        phase=Phase.MOVED,
        rows=(replace(_FIRST, good=15), _SECOND),
    )
    add_report(rollout, 'vm-2', newer, 2)
    add_report(rollout, 'vm-2', _REPORT, 2)
    add_report(rollout, 'vm-2', replace(newer, age=3), 3)
    assert (rollout.pooled.good, rollout.pooled.bad) == (18, 2)
    assert rollout.report_by_vm['vm-2'][0].phase is Phase.MOVED
