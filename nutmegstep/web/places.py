"""Choice of the idle connections whose descriptors others need."""

from collections.abc import Iterable
from heapq import nsmallest
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from nutmegstep.web.connection import ServerConnection

__all__ = ['make_places']

_CLOSED_AT_ONCE: Final = 16
"""Connections that are closed together, so that a crowd of new connections doesn't
compare all of them for each."""


def make_places(
    connections: Iterable['ServerConnection'],
    making_place: set['ServerConnection'],
    count: int,
) -> int:
    """Close idle connections; return how many are being closed.

    Those that have never sent a request go before those that may send a further
    one, and among them those whose time limit ends first, which wait longest.

    Parameters
    ----------
    connections : Iterable
        All open connections.
    making_place : set
        Connections that are being closed; those that are closed here are added.
    count : int
        Places that are needed.
    """
    if len(making_place) < count:
        chosen = nsmallest(
            _CLOSED_AT_ONCE,
            (one for one in connections if one.is_idle),
            key=lambda one: (one.cycle.answered, one.cycle.deadline),
        )
        making_place.update(chosen)
        for connection in chosen:
            connection.make_place()
    return len(making_place)
