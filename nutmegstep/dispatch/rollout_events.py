"""Events of roll-outs."""

from dataclasses import dataclass

from nutmegstep.rollouts import Phase, RolloutOrder, RolloutReport

__all__ = [
    'RolloutDirected',
    'RolloutEvent',
    'RolloutRemoved',
    'RolloutReported',
    'RolloutStored',
    'RolloutsListed',
]


@dataclass(frozen=True, slots=True)
class RolloutsListed:
    """The complete list of orders was read."""

    orders: tuple[RolloutOrder, ...]


@dataclass(frozen=True, slots=True)
class RolloutStored:
    """An order, or the state that the store holds for it, was read."""

    order: RolloutOrder


@dataclass(frozen=True, slots=True)
class RolloutRemoved:
    """An order was deleted or cannot be read."""

    service: str


@dataclass(frozen=True, slots=True)
class RolloutReported:
    """Another VM reported what it has seen of a roll-out."""

    sender: str
    report: RolloutReport


@dataclass(frozen=True, slots=True)
class RolloutDirected:
    """A decider stated the phase of a roll-out.

    Parameters
    ----------
    sender : str
        Name of the decider.
    service, version : str
        Service and version of the order.
    phase : Phase
        Phase that is to be in force.
    age : float
        Seconds since the order, as the decider knows it.
    """

    sender: str
    service: str
    version: str
    phase: Phase
    age: float


RolloutEvent = (
    RolloutDirected
    | RolloutRemoved
    | RolloutReported
    | RolloutStored
    | RolloutsListed
)
