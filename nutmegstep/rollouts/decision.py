"""Decides when a roll-out enters its next phase."""

from dataclasses import dataclass
from typing import Final

from nutmegstep.rollouts.core import Phase
from nutmegstep.rollouts.evidence import Evidence, Verdict

__all__ = ['RollCall', 'next_phase']

_TRIAL_SHARE: Final = 0.5
"""Share of the time ordered that the trial lasts at least."""
_MOVE_SECONDS: Final = 5.0
"""Time before the deadline at which the move begins. A version that turns bad
before then has got no more than its trial share."""
_RAMP_SECONDS: Final = 1.2
"""Time of the ramp: two reports of each VM."""
_MOVED_SECONDS: Final = 1.0
"""Time for which the old targets are kept after the move: a version that is bad
under load shows it then, and can still be taken back."""
_MAX_STEP_SHARE: Final = 0.1
"""Longest time of each of both as a share of the time ordered."""
_OPEN_SECONDS: Final = 1.5
"""Time for which the move waits for evidence that leans to a bad version."""
_WITHOUT_SILENT_SECONDS: Final = 2.0
"""Time before the deadline from which silent VMs are not waited for."""


@dataclass(frozen=True, slots=True)
class RollCall:
    """The VMs that have reported to the decider.

    Parameters
    ----------
    known : int
        Number of all VMs.
    heard : int
        VMs that have reported lately.
    moved : int
        VMs among them that send everything to the new version and wait for no
        answer of an old target.
    is_staffed : bool
        Whether the new version has enough targets for all of the traffic.
    """

    known: int
    heard: int
    moved: int
    is_staffed: bool = True


def next_phase(
    phase: Phase,
    phase_seconds: float,
    age: float,
    ordered_seconds: float,
    evidence: Evidence,
    roll_call: RollCall,
) -> Phase:
    """Return the phase that follows, or the present one.

    Parameters
    ----------
    phase : Phase
        Present phase.
    phase_seconds : float
        Time since it began.
    age : float
        Time in seconds since the order.
    ordered_seconds : float
        Time from the order within which it must be complete.
    evidence : Evidence
        Answers of all VMs.
    roll_call : RollCall
        VMs that have reported.
    """
    if phase.is_final:
        return phase
    if evidence.verdict is Verdict.BAD:
        return Phase.REVERTED
    if phase is Phase.TRIAL:
        return _after_trial(age, ordered_seconds, evidence, roll_call)
    following = phase
    longest = ordered_seconds * _MAX_STEP_SHARE
    if phase is Phase.RAMP:
        is_over = phase_seconds >= min(_RAMP_SECONDS, longest)
        following = Phase.MOVED if is_over else phase
    else:
        is_tested = phase_seconds >= min(_MOVED_SECONDS, longest)
        is_late = age >= ordered_seconds - _WITHOUT_SILENT_SECONDS
        has_moved = is_tested and _has_moved(roll_call, is_late)
        following = Phase.COMPLETED if has_moved else phase
    return following


def _after_trial(
    age: float,
    ordered_seconds: float,
    evidence: Evidence,
    roll_call: RollCall,
) -> Phase:
    ends_at = max(
        ordered_seconds * _TRIAL_SHARE, ordered_seconds - _MOVE_SECONDS
    )
    # Without reports of most VMs, nothing is known about the version.
    is_known = roll_call.heard * 2 > roll_call.known
    if age < ends_at or not is_known or not roll_call.is_staffed:
        return Phase.TRIAL
    if not evidence.leans_bad:
        return Phase.TRIAL if evidence.is_scarce else Phase.RAMP
    is_over = age >= ends_at + _OPEN_SECONDS
    return Phase.REVERTED if is_over else Phase.TRIAL


def _has_moved(roll_call: RollCall, is_late: bool) -> bool:
    if roll_call.moved >= roll_call.known:
        return True
    if not is_late or roll_call.moved < roll_call.heard:
        return False
    return roll_call.moved * 2 > roll_call.known
