"""Number of VMs, from entries that each VM renews in the store.

Entries do not expire by themselves and VMs vanish without a word, so an
entry counts until it has not been renewed for `EXPIRE_AFTER`. Too high a
count only leaves shared budgets unused; too low a one would exceed them.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

__all__ = ['EXPIRE_AFTER', 'RENEWAL_INTERVAL', 'VmEntry', 'VmRegistry']

RENEWAL_INTERVAL: Final = timedelta(minutes=5)
"""Time between two writes of a VM; at 4,600 VMs 15 writes a second."""
EXPIRE_AFTER: Final = timedelta(minutes=16)
"""Three renewals and some."""


@dataclass(frozen=True, slots=True)
class VmEntry:
    """Entry of one VM.

    Parameters
    ----------
    failure_domain : str
        Where the VM is.
    address : str
        ``host:port`` at which it serves other VMs.
    revision : int
        Revision of the latest renewal.
    """

    failure_domain: str
    address: str
    revision: int


class VmRegistry:
    """Counts VMs by their entries, without comparing clocks.

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

    def update(self, entry_by_name: Mapping[str, VmEntry], now: float) -> None:
        """Take the entries of all VMs.

        Parameters
        ----------
        entry_by_name : Mapping
            Entries in the store.
        now : float
            Monotonic instant of the read.
        """
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

    def expired_names(self, now: float) -> tuple[str, ...]:
        """Return the names whose entries may be deleted."""
        cutoff = now - EXPIRE_AFTER.total_seconds()
        return tuple(
            name
            for name, renewed_at in self._renewed_at_by_name.items()
            if renewed_at < cutoff
        )

    def _other_names(self, now: float) -> list[str]:
        excluded = {self._own_name, *self.expired_names(now)}
        return [name for name in self._entry_by_name if name not in excluded]
