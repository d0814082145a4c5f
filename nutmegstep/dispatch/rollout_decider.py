"""The VM that decides about a roll-out, and the reports that it decides on.

Three VMs get the reports. The first decides; each of the others does so only when
it has heard nothing of those before it for some time.
"""

import math
from dataclasses import replace
from typing import Final

from nutmegstep.dispatch.effects import (
    Decision,
    Effect,
    SendMessage,
    WriteRollout,
)
from nutmegstep.dispatch.rollout_record import Rollout
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.rollouts import (
    Outcome,
    Phase,
    ReportRow,
    RollCall,
    RolloutReport,
    next_phase,
)
from nutmegstep.rollouts.candidates import choose_candidates
from nutmegstep.rollouts.messages import (
    KIND_DIRECTIVE,
    KIND_REPORT,
    encode_directive,
    encode_report,
)

__all__ = [
    'announce',
    'decide',
    'is_acting',
    'add_report',
    'send_report',
]

_SILENCE_SECONDS: Final = 1.0
_SILENCE_PER_RANK: Final = 0.5
"""Time without a word of the VMs before it after which a VM decides itself: these,
the second one for each place in their order."""
_HEARD_SECONDS: Final = 3.0
"""Time for which a VM counts as heard after its report."""
_CONFIRMED_SECONDS: Final = 1.6
"""Time for which a VM's word counts that it has moved: three reports."""
_REWRITE_SECONDS: Final = 1.0
"""Time after which a write without an answer is repeated."""


def is_acting(state: DispatchState, rollout: Rollout, now: float) -> bool:
    """Return whether this VM decides about a roll-out now."""
    candidates = _candidates_of(state, rollout)
    if state.own_name not in candidates or now < state.refresh_until:
        return False
    rank = candidates.index(state.own_name)
    heard_at = max(
        (
            heard
            for other, heard in rollout.heard_at_by_rank.items()
            if other < rank
        ),
        default=rollout.ordered_at,
    )
    silence = _SILENCE_SECONDS + _SILENCE_PER_RANK * rank
    return not rank or now >= heard_at + silence


def add_report(
    rollout: Rollout, sender: str, report: RolloutReport, now: float
) -> None:
    """Add what a report says beyond the previous one of the same process.

    Reports hold all answers since the order, so a lost one costs nothing. One that
    was overtaken by a newer one is left out, and rows that a long report omits keep
    what earlier ones said.
    """
    known, _ = rollout.report_by_vm.get(sender, (None, 0))
    rollout.ordered_at = min(rollout.ordered_at, now - report.age)
    if known is None or known.epoch != report.epoch:
        known = replace(report, old_good=0, old_bad=0, rows=())
    elif report.age < known.age:
        return
    rollout.report_by_vm[sender] = (_merge_rows(known, report), now)
    rollout.pooled.add_old(
        max(0, report.old_good - known.old_good),
        max(0, report.old_bad - known.old_bad),
        now,
    )
    counted = {
        (row.target_id, row.route): (row.good, row.bad) for row in known.rows
    }
    for row in report.rows:
        good, bad = counted.get((row.target_id, row.route), (0, 0))
        if row.good > good or row.bad > bad:
            rollout.pooled.add_new(
                row.target_id,
                row.route,
                max(0, row.good - good),
                max(0, row.bad - bad),
            )


def _merge_rows(known: RolloutReport, report: RolloutReport) -> RolloutReport:
    stated = {(row.target_id, row.route) for row in report.rows}
    omitted = tuple(
        row for row in known.rows if (row.target_id, row.route) not in stated
    )
    return replace(report, rows=(*report.rows, *omitted))


def send_report(
    state: DispatchState, rollout: Rollout, now: float
) -> list[Effect]:
    """Report what this VM has seen to the VMs that may decide."""
    report = _report_of(state, rollout, now)
    candidates = _candidates_of(state, rollout)
    if state.own_name in candidates:
        add_report(rollout, state.own_name, report, now)
    receivers = tuple(one for one in candidates if one != state.own_name)
    return [SendMessage(receivers, KIND_REPORT, encode_report(report))]


def decide(state: DispatchState, rollout: Rollout, now: float) -> list[Effect]:
    """Enter the next phase if it is time, and write a final one to the store."""
    if rollout.phase.is_final:
        return _write_again(rollout, now)
    evidence = rollout.pooled
    roll_call = _roll_call(state, rollout, now)
    phase = next_phase(
        rollout.phase,
        now - rollout.phase_at,
        now - rollout.ordered_at,
        rollout.order.seconds,
        evidence,
        roll_call,
    )
    rollout.directed_at = now
    rollout.directed_by = _candidates_of(state, rollout).index(state.own_name)
    inputs = {
        'service': rollout.order.service,
        'version': rollout.order.version,
        'phase': phase.value,
        'previous': rollout.phase.value,
        'age_ms': round((now - rollout.ordered_at) * 1000),
        'good': evidence.good,
        'bad': evidence.bad,
        'suspicion': round(evidence.suspicion, 1),
        'old_share': round(evidence.old_share, 3),
        'vms': roll_call.known,
        'heard': roll_call.heard,
        'moved': roll_call.moved,
    }
    if phase is rollout.phase:
        if rollout.order.outcome is None:
            return _write(rollout, Outcome.ACTIVE, now)
        return []
    decision = Decision('rollout_decided', '', inputs)
    if phase is Phase.COMPLETED:
        # It is in force once the store has accepted it; the old targets stop
        # then, and until then the version can be taken back.
        written = _write(rollout, Outcome.COMPLETED, now)
        return [decision, *written] if written else []
    rollout.phase = phase
    rollout.phase_at = now
    effects: list[Effect] = [decision, *announce(state, rollout, now)]
    if phase is Phase.REVERTED:
        effects.extend(_write(rollout, Outcome.REVERTED, now, is_urgent=True))
    if phase is Phase.MOVED:
        effects.extend(send_report(state, rollout, now))
    return effects


def announce(
    state: DispatchState, rollout: Rollout, now: float
) -> list[Effect]:
    """State the phase to all other VMs."""
    receivers = tuple(
        name for name in state.domain_by_vm if name != state.own_name
    )
    content = encode_directive(
        rollout.order.service,
        rollout.order.version,
        rollout.phase,
        now - rollout.ordered_at,
    )
    return [SendMessage(receivers, KIND_DIRECTIVE, content)]


def _write_again(rollout: Rollout, now: float) -> list[Effect]:
    # The store may have been restored from a copy without the state.
    outcome = Outcome(rollout.phase.value)
    if rollout.order.outcome in {Outcome.COMPLETED, Outcome.REVERTED}:
        return []
    return _write(rollout, outcome, now)


def _write(
    rollout: Rollout, outcome: Outcome, now: float, *, is_urgent: bool = False
) -> list[Effect]:
    if now < rollout.written_at + _REWRITE_SECONDS and not is_urgent:
        return []
    rollout.written_at = now
    order = rollout.order
    return [WriteRollout(order.service, order.version, order.revision, outcome)]


def _candidates_of(state: DispatchState, rollout: Rollout) -> tuple[str, ...]:
    order = rollout.order
    return choose_candidates(order.service, order.version, state.domain_by_vm)


def _roll_call(state: DispatchState, rollout: Rollout, now: float) -> RollCall:
    heard = {
        name: (report, heard_at)
        for name, (report, heard_at) in rollout.report_by_vm.items()
        if now < heard_at + _HEARD_SECONDS and name in state.domain_by_vm
    }
    moved = sum(
        report.phase is Phase.MOVED
        and not report.old_in_flight
        and heard_at >= rollout.phase_at
        and now < heard_at + _CONFIRMED_SECONDS
        for report, heard_at in heard.values()
    )
    return RollCall(
        len(state.domain_by_vm), len(heard), moved, _is_staffed(state, rollout)
    )


def _is_staffed(state: DispatchState, rollout: Rollout) -> bool:
    """Return whether the new version has at least half of the old one's slots.

    More of its targets may still be starting; half of the slots carry the usual
    traffic.
    """
    serving = [
        target
        for target in state.registry.of_service(rollout.order.service)
        if not target.is_draining
    ]
    new = sum(one.slots for one in serving if rollout.is_new(one))
    old = sum(one.slots for one in serving if not rollout.is_new(one))
    return new > 0 and new * 2 >= old


def _report_of(
    state: DispatchState, rollout: Rollout, now: float
) -> RolloutReport:
    order = rollout.order
    old_in_flight = sum(
        send.target.service == order.service and not rollout.is_new(send.target)
        for send in state.sends_by_id.values()
    )
    age = now - rollout.ordered_at
    return RolloutReport(
        order.service,
        order.version,
        state.rollouts.epoch,
        rollout.phase_in_force(now) or Phase.TRIAL,
        old_in_flight,
        age if math.isfinite(age) else 0,
        rollout.old_good,
        rollout.old_bad,
        tuple(
            ReportRow(target_id, route, good, bad)
            for (target_id, route), (
                good,
                bad,
            ) in rollout.counts_by_row.items()
        ),
    )
