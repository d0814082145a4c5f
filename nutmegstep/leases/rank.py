"""Rendezvous hashing: which VM requests the lease of a target."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

__all__ = ['highest_ranked', 'rank_by_hash', 'targets_to_request']


def rank_by_hash(subject: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return names in the order of their rendezvous hash for a subject.

    All VMs with the same names get the same order, and a name that is added
    or removed does not change the order of the others.

    Examples
    --------
    >>> sorted(rank_by_hash('target-1', ['vm-2', 'vm-1']))
    ['vm-1', 'vm-2']
    """

    def weight(name: str) -> tuple[int, str]:
        return xxh3_64_intdigest(f'{subject}\0{name}'.encode()), name

    return tuple(sorted(names, key=weight, reverse=True))


def highest_ranked(
    subject: str,
    names: Iterable[str],
    count: int,
) -> tuple[str, ...]:
    """Return the `count` names that rank highest for a subject."""
    return rank_by_hash(subject, names)[:count]


def targets_to_request(
    own_name: str,
    wanted_targets: Iterable[str],
    candidate_names: Iterable[str],
) -> frozenset[str]:
    """Return the wanted targets for which this VM ranks highest.

    Notes
    -----
    The rank only avoids that several VMs request one lease at the same time
    and block each other. VMs that know different candidates may both request
    it; then at most one of them gets it.
    """
    names = tuple(candidate_names)
    return frozenset(
        target
        for target in wanted_targets
        if highest_ranked(target, names, 1) == (own_name,)
    )
