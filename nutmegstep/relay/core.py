"""Which VMs of a failure domain follow the store for the others."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import xxhash

from nutmegstep.store_watch.vm_registry import VmEntry

__all__ = ['RelayChoice', 'choose_relays']

_RELAYS_PER_DOMAIN: Final = 2
"""Relays of a failure domain; one may be lost at any moment."""
_MIN_DOMAIN_VMS: Final = 6
"""VMs of a failure domain from which on relays are used; below, they would
save less than half of the calls."""


@dataclass(frozen=True, slots=True)
class RelayChoice:
    """Where a VM reads what the store holds.

    Parameters
    ----------
    addresses : tuple of str
        Relays to read from, in the order to be tried; empty for a VM that
        follows the store itself.
    """

    addresses: tuple[str, ...]


def choose_relays(
    own_name: str,
    neighbours: Mapping[str, VmEntry],
) -> RelayChoice:
    """Return from whom a VM reads.

    VMs rank each other by a hash of their names, so that all choose alike
    from the same entries. Every VM can serve as a relay, and a relay that
    does not answer is passed over, so entries that differ cost calls but
    nothing else.

    Parameters
    ----------
    own_name : str
        Name of this VM.
    neighbours : Mapping
        Other VMs of its failure domain.

    Examples
    --------
    >>> choose_relays('vm-1', {})
    RelayChoice(addresses=())
    """
    if len(neighbours) + 1 < _MIN_DOMAIN_VMS:
        return RelayChoice(())
    reachable = (name for name, one in neighbours.items() if one.address)
    ranked = sorted((own_name, *reachable), key=_rank)
    relays = ranked[:_RELAYS_PER_DOMAIN]
    if own_name in relays:
        return RelayChoice(())
    if _rank(own_name) % 2:
        relays.reverse()
    return RelayChoice(tuple(neighbours[name].address for name in relays))


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
