"""Number of VMs, from registry entries that each VM renews in the store.

The store does not expire entries, and a VM that ends does not delete its own.
So an entry is counted until it has not been renewed for `EXPIRE_AFTER`. A count
that is too high leaves a part of the shared budgets unused; a count that is too
low would exceed them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

__all__ = [
    'DEFAULT_CAPACITY',
    'EXPIRE_AFTER',
    'RENEWAL_INTERVAL',
    'VmEntry',
    'VmRegistry',
]

DEFAULT_CAPACITY: Final = 1.0
"""Capacity of a VM that does not state it, in cores of a reference machine."""

RENEWAL_INTERVAL: Final = timedelta(minutes=5)
"""Time between two renewals of an entry; 4,600 VMs make 15 writes a second."""
EXPIRE_AFTER: Final = timedelta(minutes=16)
"""Time without a renewal after which an entry is no longer counted; three
renewals and a margin."""


@dataclass(frozen=True, slots=True)
class VmEntry:
    """Registry entry of one VM.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the VM.
    address : str
        ``host:port`` at which other VMs reach it; empty if it is not valid.
    revision : int
        Revision of the object in the store, which grows at each renewal. In an
        entry that is written: a value that differs from the previous one.
    capacity : float
        Speed of the VM's processor, in cores of a reference machine.
    """

    failure_domain: str
    address: str
    revision: int
    capacity: float = DEFAULT_CAPACITY


class VmRegistry:
    """Counts the VMs that renew their entries.

    A renewal is a change of the entry between two reads and is dated with the
    clock of this VM, so the clocks of different VMs are not compared.

    Parameters
    ----------
    own_name : str
        Name of this VM.
    own_domain : str
        Failure domain of this VM.

    Examples
    --------
    >>> registry = VmRegistry('vm-1', 'north')
    >>> registry.update({'vm-2': VmEntry('north', '10.0.0.2:7', 1)}, now=0)
    >>> registry.count(0), registry.count_in_domain(0)
    (2, 2)
    >>> registry.count(3600)
    1
    """

    def __init__(self, own_name: str, own_domain: str) -> None:
        self._own_name = own_name
        self._own_domain = own_domain
        self._entry_by_name: dict[str, VmEntry] = {}
        self._renewed_at_by_name: dict[str, float] = {}
        self._keep_missing_until = float(0)

    def keep_missing(self, now: float) -> None:
        """Count VMs until they expire although the store lacks their entries.

        It was restored from a copy, and VMs that cannot reach it do not write
        their entries again.

        Parameters
        ----------
        now : float
            Monotonic time in seconds at which the restoration was noticed.
        """
        self._keep_missing_until = now + EXPIRE_AFTER.total_seconds()

    def update(self, entry_by_name: Mapping[str, VmEntry], now: float) -> None:
        """Record the entries that were read from the store.

        Parameters
        ----------
        entry_by_name : Mapping
            Entries of all VMs.
        now : float
            Monotonic time of the read in seconds.
        """
        if now < self._keep_missing_until:
            kept = self._other_names(now)
            entry_by_name = {
                **{name: self._entry_by_name[name] for name in kept},
                **entry_by_name,
            }
        renewed = {
            name: now
            for name, entry in entry_by_name.items()
            if self._entry_by_name.get(name) != entry
        }
        self._entry_by_name = dict(entry_by_name)
        self._renewed_at_by_name = {
            name: renewed_at
            for name, renewed_at in {
                **self._renewed_at_by_name,
                **renewed,
            }.items()
            if name in entry_by_name
        }

    def count(self, now: float) -> int:
        """Return the number of VMs, this one included."""
        return len(self._other_names(now)) + 1

    def count_in_domain(self, now: float) -> int:
        """Return the number of VMs in the own failure domain."""
        return len(self.neighbours(now)) + 1

    def neighbours(self, now: float) -> Mapping[str, VmEntry]:
        """Return the other VMs of the own failure domain, by name."""
        entries = self._entry_by_name
        return {
            name: entries[name]
            for name in self._other_names(now)
            if entries[name].failure_domain == self._own_domain
        }

    def others(self, now: float) -> Mapping[str, VmEntry]:
        """Return the other VMs of all failure domains, by name."""
        return {
            name: self._entry_by_name[name] for name in self._other_names(now)
        }

    def expired_names(self, now: float) -> tuple[str, ...]:
        """Return the names of the VMs whose entries can be deleted."""
        cutoff = now - EXPIRE_AFTER.total_seconds()
        return tuple(
            name
            for name, renewed_at in self._renewed_at_by_name.items()
            if renewed_at < cutoff
        )

    def _other_names(self, now: float) -> list[str]:
        excluded = {self._own_name, *self.expired_names(now)}
        return [name for name in self._entry_by_name if name not in excluded]
