"""Records of roll-outs: the order, its phases and the reports of VMs."""

import enum
from dataclasses import dataclass

__all__ = [
    'ExposureLimits',
    'Outcome',
    'Phase',
    'ReportRow',
    'RolloutOrder',
    'RolloutReport',
]


@enum.unique
class Outcome(enum.Enum):
    """State of an order that the store holds."""

    ACTIVE = 'active'
    COMPLETED = 'completed'
    REVERTED = 'reverted'


@enum.unique
class Phase(enum.Enum):
    """How much of the traffic may go to the new version.

    Attributes
    ----------
    TRIAL
        First sends within the credit of each VM.
    RAMP
        A part of the first sends.
    MOVED
        All sends.
    COMPLETED
        All sends; the old targets stop.
    REVERTED
        None.
    """

    TRIAL = 'trial'
    RAMP = 'ramp'
    MOVED = 'moved'
    COMPLETED = 'completed'
    REVERTED = 'reverted'

    @property
    def is_final(self) -> bool:
        """Whether no other phase follows."""
        return self in {Phase.COMPLETED, Phase.REVERTED}


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Bound on the requests that a bad version gets from all VMs together.

    Parameters
    ----------
    share : float
        Part of all requests for the service.
    slack : float
        Requests that are allowed in addition.
    """

    share: float
    slack: float


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order to move the traffic of a service to a version.

    Parameters
    ----------
    service : str
        Service whose traffic is moved.
    version : str
        Version that it is moved to.
    seconds : float
        Time from the order within which it must be complete.
    revision : int
        Revision of the latest change of the order in the store.
    outcome : Outcome or None
        State that the store holds for this version; None if it holds none.
    """

    service: str
    version: str
    seconds: float
    revision: int = 0
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class ReportRow:
    """Answers of one target of the new version to the requests of one route.

    Parameters
    ----------
    target_id : str
        Identifier of the target.
    route : str
        Name of the route.
    good, bad : int
        Answers since the order.
    """

    target_id: str
    route: str
    good: int
    bad: int


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """What one VM has seen of a roll-out.

    Parameters
    ----------
    service, version : str
        Service and version of the order.
    epoch : int
        Number that differs between the processes of a VM.
    phase : Phase
        Phase in force at the VM; `Phase.TRIAL` also while it sends nothing to
        the new version.
    old_in_flight : int
        Pending sends to targets of another version.
    age : float
        Seconds since the VM learnt of the order.
    old_good, old_bad : int
        Answers of the other versions since the order.
    rows : tuple of ReportRow
        Answers of the new version.
    """

    service: str
    version: str
    epoch: int
    phase: Phase
    old_in_flight: int
    age: float
    old_good: int
    old_bad: int
    rows: tuple[ReportRow, ...] = ()
