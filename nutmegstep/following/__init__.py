"""Follows kinds of objects in the platform's store."""

from nutmegstep.following.contact import StoreContact
from nutmegstep.following.core import Follower
from nutmegstep.following.reader import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    StoreReader,
)

__all__ = [
    'Change',
    'Changes',
    'Follower',
    'HistoryGone',
    'Listing',
    'StoreContact',
    'StoreReader',
]
