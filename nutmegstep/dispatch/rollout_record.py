"""State of one order of a roll-out at one VM."""

import math
from dataclasses import dataclass, field
from typing import Final

from nutmegstep.discovery import TargetRecord
from nutmegstep.rollouts import Evidence, Phase, RolloutOrder, RolloutReport

__all__ = ['LEASE_SECONDS', 'Rollout']

LEASE_SECONDS: Final = 2.0
"""Time without a word of the decider after which nothing is sent to the new
version: four of its messages."""


@dataclass(slots=True)
class Rollout:
    """State of one order.

    Attributes
    ----------
    order : RolloutOrder
        The order as the store holds it.
    ordered_at : float
        Monotonic time in seconds of the order, as far as known.
    old_version : str
        Version that runs beside the new one; empty until targets are known.
        If only targets of the new version were known at first, it is that one.
    credit : float
        First sends that may go to the new version during the trial.
    phase : Phase
        Phase that the decider has stated.
    phase_at : float
        Monotonic time in seconds at which this VM learnt of it.
    directed_at : float
        Monotonic time in seconds of the decider's latest word.
    directed_by : int
        Rank of that decider.
    heard_at_by_rank : dict
        Monotonic times in seconds of the latest words of deciders, by rank.
    held_until : float
        Monotonic time in seconds until which this VM sends nothing to the new
        version, because of what it has seen itself.
    old_good, old_bad : int
        Answers of other versions that this VM has got.
    counts_by_row : dict
        Good and bad answers of the new version that this VM has got, by target
        and route.
    seen : Evidence
        The same answers as evidence.
    pooled : Evidence
        Answers of all VMs, as far as they have reported to this one.
    report_by_vm : dict
        Latest report of each VM, and the monotonic time in seconds of it.
    written_at : float
        Monotonic time in seconds of the latest write to the store.
    """

    order: RolloutOrder
    ordered_at: float
    credit: float
    old_version: str = ''
    phase: Phase = Phase.TRIAL
    phase_at: float = -math.inf
    directed_at: float = -math.inf
    directed_by: int = 0
    heard_at_by_rank: dict[int, float] = field(default_factory=dict)
    held_until: float = -math.inf
    old_good: int = 0
    old_bad: int = 0
    counts_by_row: dict[tuple[str, str], list[int]] = field(
        default_factory=dict
    )
    seen: Evidence = field(default_factory=Evidence)
    pooled: Evidence = field(default_factory=Evidence)
    report_by_vm: dict[str, tuple[RolloutReport, float]] = field(
        default_factory=dict
    )
    written_at: float = -math.inf

    def phase_in_force(self, now: float) -> Phase | None:
        """Return the phase that binds sends; None if only old targets may be used.

        A VM that hears nothing falls back to the old version.
        """
        if self.phase.is_final:
            return self.phase
        is_heard = now < self.directed_at + LEASE_SECONDS
        return self.phase if is_heard and now >= self.held_until else None

    def is_new(self, target: TargetRecord) -> bool:
        """Return whether a target is of the version that is rolled out."""
        return target.version == self.order.version
