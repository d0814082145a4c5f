"""Revisions that keep growing when the store is restored from a copy.

A store that comes back from a copy gives out revisions again. Its era, which
grows by one each time, tells them apart. The revisions of this package contain
the era and the store's own number, so that any revision of a later era is
greater.
"""

from typing import Final

__all__ = ['compose_revision', 'era_of', 'number_of']

_NUMBERS_PER_ERA: Final = 2**48


def compose_revision(era: int, number: int) -> int:
    """Return the revision for a number that the store gave out in an era.

    Examples
    --------
    >>> compose_revision(1, 900) < compose_revision(2, 7)
    True
    """
    return era * _NUMBERS_PER_ERA + number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // _NUMBERS_PER_ERA


def number_of(revision: int) -> int:
    """Return the number that the store gave out."""
    return revision % _NUMBERS_PER_ERA
