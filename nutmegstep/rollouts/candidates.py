"""Chooses the VMs that may decide about a roll-out, alike on all VMs."""

from collections.abc import Mapping
from typing import Final

import xxhash

__all__ = ['choose_candidates']

_CANDIDATES: Final = 3


def choose_candidates(
    service: str, version: str, domain_by_vm: Mapping[str, str]
) -> tuple[str, ...]:
    """Return the names of the VMs that may decide, the first of them first.

    They are of different failure domains, as far as there are enough.

    Parameters
    ----------
    service, version : str
        Service and version of the order.
    domain_by_vm : Mapping
        Failure domains of all VMs by name.

    Examples
    --------
    >>> choose_candidates('orders', 'v2', {'vm-1': 'north'})
    ('vm-1',)
    """
    ranked = sorted(
        domain_by_vm,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f'{service} {version} {name}'.encode()),
            name,
        ),
    )
    first_by_domain: dict[str, str] = {}
    for name in ranked:
        first_by_domain.setdefault(domain_by_vm[name], name)
    chosen = list(first_by_domain.values())
    return tuple(dict.fromkeys((*chosen, *ranked)))[:_CANDIDATES]
