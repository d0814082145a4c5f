"""Objects of one kind, as a relay keeps them for its readers."""

import asyncio
from collections import deque
from typing import Final

from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectChanges,
)

__all__ = ['RelayCache']

_MAX_CHANGES: Final = 1000
"""Most changes that are kept for watches. A burst of configurations together
with a release of all targets makes a few hundred."""


class RelayCache:
    """Objects of one kind and their latest changes.

    Attributes
    ----------
    changed : asyncio.Event
        Set, and replaced by a new event, at each change.
    """

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self._documents_by_name: dict[str, object] = {}
        self._change_log: deque[tuple[int, ObjectChange]] = deque(
            maxlen=_MAX_CHANGES
        )
        self._first_revision = 0
        self._revision = 0

    def replace_all(self, listing: Listing) -> None:
        """Replace all objects with those of a listing; discard the changes."""
        self._documents_by_name = dict(listing.documents_by_name)
        self._change_log.clear()
        self._first_revision = listing.revision
        self._revision = listing.revision
        self._notify()

    def apply_changes(self, found: ObjectChanges) -> None:
        """Apply changes to the objects and keep them for watches."""
        self._revision = max(self._revision, found.revision)
        for change in found.changes:
            if len(self._change_log) == _MAX_CHANGES:
                self._first_revision = self._change_log[0][0]
            self._change_log.append((found.revision, change))
            if change.is_deleted:
                self._documents_by_name.pop(change.name, None)
            else:
                self._documents_by_name[change.name] = change.document
        if found.changes:
            self._notify()

    def listing(self) -> Listing | None:
        """Return all objects, or None before the first listing."""
        if not self._revision:
            return None
        return Listing(dict(self._documents_by_name), self._revision)

    def changes_after(self, revision: int) -> ObjectChanges | HistoryGone:
        """Return the latest change of each object after a revision.

        The history is gone for revisions before the changes that are kept.
        """
        if revision < self._first_revision:
            return HistoryGone()
        changes = (
            change
            for change_revision, change in self._change_log
            if change_revision > revision
        )
        # A reader needs only the latest change of an object. Sending all of
        # them would saturate network links in a burst of configurations.
        latest = {change.name: change for change in changes}
        return ObjectChanges(
            tuple(latest.values()), max(self._revision, revision)
        )

    def _notify(self) -> None:
        previous = self.changed
        self.changed = asyncio.Event()
        previous.set()
