"""Chooses the coordinators of each failure domain.

In a large fleet each VM receives few queries. If every VM scattered its own
queries over all shards, each would need connections to all targets, would learn
about slow targets from a small part of the traffic, and would spend most of a
query's time on its own slow processor. So most VMs pass queries over many shards
to a few coordinators of their failure domain.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from itertools import chain, groupby
from operator import itemgetter
from typing import Final

import xxhash

from nutmegstep.store_watch.vm_registry import VmEntry

__all__ = ['CoordinatorChoice', 'DelegationTerms', 'choose_coordinators']

_MIN_DOMAIN_VMS: Final = 8
"""Smallest failure domain, in VMs, that uses coordinators."""
_VMS_PER_COORDINATOR: Final = 8
"""VMs of a failure domain for each of its coordinators."""
_MIN_COORDINATORS: Final = 2
"""Fewest coordinators of a failure domain; one of them may fail at any time."""
_MAX_LOCAL_SUBSTITUTES: Final = 4
"""Most substitutes of a VM in its own failure domain."""
_MAX_REMOTE_SUBSTITUTES: Final = 8
"""Most substitutes of a VM in the other failure domains."""
_MIN_CAPACITY_SHARE: Final = 0.5
"""Smallest capacity of a coordinator as a share of the largest one in its
failure domain. A slower VM would delay the queries of several others."""


@dataclass(frozen=True, slots=True)
class CoordinatorChoice:
    """Coordinators, as they concern one VM.

    Parameters
    ----------
    addresses : tuple of str
        ``host:port`` of the coordinators to which this VM passes queries, in
        the order in which to try them; empty if it scatters them itself.
    remote_addresses : tuple of str
        ``host:port`` of the coordinators of the other failure domains, in the
        order in which to try them. They serve the requests for services that
        have no target in the failure domain of this VM.
    is_coordinator : bool
        Whether this VM is a coordinator.
    in_domain : int
        Number of coordinators in the failure domain of this VM.
    total : int
        Number of coordinators in all failure domains.
    rank : int
        Position of this VM among the coordinators or, if it is not one, among
        the other VMs.
    substitutes : tuple of str
        ``host:port`` of the VMs that serve the requests of this one while it
        reaches no target, in the order in which to try them.
    """

    addresses: tuple[str, ...] = ()
    remote_addresses: tuple[str, ...] = ()
    is_coordinator: bool = False
    in_domain: int = 0
    total: int = 0
    rank: int = 0
    substitutes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DelegationTerms:
    """Terms under which a VM delegates a query to a coordinator.

    Parameters
    ----------
    config_version : int
        Version of the configuration that the coordinator must use.
    partial_answer_in : float
        Seconds until a partial answer is due.
    possible_runs : int
        Number of earlier sends of each part that a target may have run; they
        count as attempts.
    """

    config_version: int
    partial_answer_in: float
    possible_runs: int = 0


def choose_coordinators(
    own_name: str,
    entry_by_name: Mapping[str, VmEntry],
) -> CoordinatorChoice:
    """Choose the coordinators of all failure domains.

    The VMs with the largest capacity are chosen, and a hash of the names decides
    between equal ones. So all VMs with the same entries choose the same
    coordinators. VMs with different entries only use more of them.

    Parameters
    ----------
    own_name : str
        Name of this VM.
    entry_by_name : Mapping
        Entries of all VMs, this one included.

    Examples
    --------
    >>> entries = {
    ...     f'vm-{n}': VmEntry('north', f'10.0.0.{n}:7', 1) for n in '123'
    ... }
    >>> choose_coordinators('vm-1', entries).addresses
    ()
    """
    chosen_by_domain = {
        domain: _choose_in_domain(names, entry_by_name)
        for domain, names in _group_by_domain(entry_by_name).items()
    }
    chosen = chosen_by_domain[entry_by_name[own_name].failure_domain]
    coordinators = frozenset(chain.from_iterable(chosen_by_domain.values()))
    is_coordinator = own_name in chosen
    local = () if is_coordinator else chosen
    remote = tuple(sorted(coordinators.difference(chosen)))
    peers = (
        coordinators if is_coordinator else entry_by_name.keys() - coordinators
    )
    return CoordinatorChoice(
        _addresses_in_order(local, own_name, entry_by_name),
        _addresses_in_order(remote, own_name, entry_by_name),
        is_coordinator,
        len(chosen),
        len(coordinators),
        sorted(peers).index(own_name),
        _choose_substitutes(own_name, entry_by_name, coordinators),
    )


def _choose_substitutes(
    own_name: str,
    entry_by_name: Mapping[str, VmEntry],
    coordinators: Collection[str],
) -> tuple[str, ...]:
    """Return the addresses of the substitutes of a VM.

    Coordinators go first, as they have connections to the targets, then VMs of
    the own failure domain. A hash of both names spreads the VMs. Only a few are
    of the own domain, since all of it may have lost its links.
    """
    own_domain = entry_by_name[own_name].failure_domain
    candidates = sorted(
        (
            (
                name not in coordinators,
                entry.failure_domain != own_domain,
                _rank(f'{own_name} {name}'),
                entry.address,
            )
            for name, entry in entry_by_name.items()
            if entry.address and name != own_name
        ),
    )
    local = [one for one in candidates if not one[1]][:_MAX_LOCAL_SUBSTITUTES]
    remote = [one for one in candidates if one[1]][:_MAX_REMOTE_SUBSTITUTES]
    return tuple(one[-1] for one in sorted((*local, *remote)))


def _group_by_domain(
    entry_by_name: Mapping[str, VmEntry],
) -> dict[str, list[str]]:
    pairs = sorted(
        (entry.failure_domain, name) for name, entry in entry_by_name.items()
    )
    return {
        domain: [name for _, name in group]
        for domain, group in groupby(pairs, key=itemgetter(0))
    }


def _choose_in_domain(
    names: Iterable[str],
    entry_by_name: Mapping[str, VmEntry],
) -> tuple[str, ...]:
    ranked = sorted(
        (name for name in names if entry_by_name[name].address),
        key=lambda name: (-entry_by_name[name].capacity, _rank(name)),
    )
    if len(ranked) < _MIN_DOMAIN_VMS:
        return ()
    least = entry_by_name[ranked[0]].capacity * _MIN_CAPACITY_SHARE
    count = math.ceil(len(ranked) / _VMS_PER_COORDINATOR)
    able = [
        name for name in ranked[:count] if entry_by_name[name].capacity >= least
    ]
    return tuple(able if len(able) > 1 else ranked[:_MIN_COORDINATORS])


def _addresses_in_order(
    names: tuple[str, ...],
    own_name: str,
    entry_by_name: Mapping[str, VmEntry],
) -> tuple[str, ...]:
    """Return the addresses in an order that spreads the VMs over them."""
    if not names:
        return ()
    start = _rank(own_name) % len(names)
    rotated = (*names[start:], *names[:start])
    return tuple(entry_by_name[name].address for name in rotated)


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
