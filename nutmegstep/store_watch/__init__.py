"""Lists and watches kinds of objects in the platform's store."""

from nutmegstep.store_watch.availability import StoreAvailability
from nutmegstep.store_watch.core import Subscription, Watcher
from nutmegstep.store_watch.reader import (
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectChanges,
    StatusWrite,
    StoreReader,
)

__all__ = [
    'HistoryGone',
    'Listing',
    'ObjectChange',
    'ObjectChanges',
    'StatusWrite',
    'StoreAvailability',
    'StoreReader',
    'Subscription',
    'Watcher',
]
