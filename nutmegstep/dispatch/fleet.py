"""Share of this VM in the bounds that hold over all VMs."""

from collections.abc import Mapping
from functools import cache
from typing import Final

import xxhash

from nutmegstep.coordinators import CoordinatorChoice

__all__ = ['FleetShare']

_COORDINATORS_SHARE: Final = 0.7
"""Share of the bounds over all VMs that the coordinators use."""
_INITIAL_VM_COUNT: Final = 8
"""Number of VMs that is assumed until they are counted."""


@cache
def _ring_offset(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class FleetShare:
    """The VMs that share the targets, as this one counts them.

    Parameters
    ----------
    own_name : str
        Name of this VM; empty if it does not exchange messages with others.

    Attributes
    ----------
    own_name : str
        Name of this VM.
    vm_count : int
        Number of all VMs, including this one.
    vms_in_domain : int
        Number of VMs in the failure domain of this VM, including this one.
    domain_by_vm : Mapping
        Failure domains of all VMs that are known by name, this one included.
    coordinators : CoordinatorChoice
        Coordinators of queries.
    """

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.vm_count = _INITIAL_VM_COUNT
        self.vms_in_domain = max(1, _INITIAL_VM_COUNT // 3)
        self.domain_by_vm: Mapping[str, str] = {}
        self.coordinators = CoordinatorChoice()

    @property
    def bound_divisor(self) -> float:
        """Number of equal shares of a bound over all VMs; this VM has one.

        The coordinators send most requests and share most of each bound.
        """
        coordinators = self.coordinators.total
        others = self.vm_count - coordinators
        if not coordinators or others < 1:
            return self.vm_count
        if self.coordinators.is_coordinator:
            return coordinators / _COORDINATORS_SHARE
        return others / (1 - _COORDINATORS_SHARE)

    @property
    def peers(self) -> int:
        """Number of VMs that have the same share of a bound as this one."""
        if self.coordinators.is_coordinator:
            return max(1, self.coordinators.total)
        return max(1, self.vm_count - self.coordinators.total)

    @property
    def position(self) -> int:
        """Place of this VM among all VMs, from 0; coordinators come first."""
        choice = self.coordinators
        if choice.is_coordinator:
            return choice.rank
        return choice.total + choice.rank

    def place_of(self, name: str) -> int:
        """Return the place of this VM on a ring of its peers.

        Another name gives another order of the VMs.
        """
        return (self.coordinators.rank + _ring_offset(name)) % self.peers

    def phase_of(self, name: str) -> float:
        """Return a number above 0, at most 1, that spreads the VMs evenly.

        Another name gives another order of the VMs.
        """
        return (self.place_of(name) + 1) / self.peers
