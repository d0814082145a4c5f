"""Selection of the VMs of a failure domain that serve as relays."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import xxhash

from nutmegstep.store_watch.vm_registry import VmEntry

__all__ = ['RelayChoice', 'choose_relays']

_RELAYS_PER_DOMAIN: Final = 2
"""Number of relays in a failure domain; one of them may fail at any time."""
_MIN_DOMAIN_VMS: Final = 6
"""Smallest failure domain, in VMs, that uses relays. In a smaller one they
would save less than half of the calls to the store."""


@dataclass(frozen=True, slots=True)
class RelayChoice:
    """Relays from which a VM reads the objects of the store.

    Parameters
    ----------
    addresses : tuple of str
        ``host:port`` of the relays, in the order in which to try them; empty
        for a VM that watches the store itself.
    """

    addresses: tuple[str, ...]


def choose_relays(
    own_name: str,
    neighbours: Mapping[str, VmEntry],
) -> RelayChoice:
    """Choose the relays from which a VM reads.

    VMs are ranked by a hash of their names, so all VMs with the same entries
    choose the same relays. Every VM can serve as a relay, and a relay that
    does not answer is skipped. So VMs with different entries only make more
    calls.

    Parameters
    ----------
    own_name : str
        Name of this VM.
    neighbours : Mapping
        Entries of the other VMs of its failure domain by name.

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
    # About half of the VMs try the second relay first, to spread the load.
    if _rank(own_name) % 2:
        relays.reverse()
    return RelayChoice(tuple(neighbours[name].address for name in relays))


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
