"""Bounds that the operators set for a deployment."""

from dataclasses import dataclass

from nutmegstep.dispatch.budget import BudgetLimits
from nutmegstep.rollouts import ExposureLimits

__all__ = ['ColdLimits', 'DispatchLimits']


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """Bound on the requests to a cold target, summed over all VMs.

    Parameters
    ----------
    overshoot : float
        Factor by which the declared rate is multiplied.
    slack : float
        Requests per second that are allowed in addition.
    """

    overshoot: float
    slack: float


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Bounds that the operators set for a deployment.

    Parameters
    ----------
    budget : BudgetLimits
        Bound on repeats and hedges.
    cold : ColdLimits
        Bound on requests to cold targets.
    paces_returns : bool, optional
        Whether targets that have started or recovered get their load back at
        the pace of their answers.
    exposure : ExposureLimits or None
        Bound on requests to a bad version; without it there are no roll-outs.
    """

    budget: BudgetLimits
    cold: ColdLimits
    paces_returns: bool = False
    exposure: ExposureLimits | None = None
