"""Objects of one kind, as a relay keeps them for its readers."""

import asyncio
from typing import Final

from nutmegstep.store_watch import (
    HistoryGone,
    Listing,
    ObjectChange,
    ObjectChanges,
)

__all__ = ['RelayCache']

_MAX_CHANGED_NAMES: Final = 1000
"""Most objects whose latest change is remembered for watches. A release of all
targets changes a few hundred."""


class RelayCache:
    """Objects of one kind, and when each was last changed.

    Superseded versions of an object are not kept: no reader needs them, and those
    of a large configuration would fill the memory.

    Attributes
    ----------
    changed : asyncio.Event
        Set, and replaced by a new event, at each change.
    """

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self._documents_by_name: dict[str, object] = {}
        self._revision_by_changed_name: dict[str, int] = {}
        self._first_revision = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision of the store that the objects have; 0 before the first listing."""
        return self._revision

    def replace_all(self, listing: Listing) -> None:
        """Replace all objects with those of a listing; discard the changes."""
        self._documents_by_name = dict(listing.documents_by_name)
        self._revision_by_changed_name.clear()
        self._first_revision = listing.revision
        self._revision = listing.revision
        self._notify()

    def apply_changes(self, found: ObjectChanges) -> None:
        """Apply changes to the objects and remember them for watches."""
        self._revision = max(self._revision, found.revision)
        for change in found.changes:
            self._remember_change(change.name, found.revision)
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
            self._latest_change(name)
            for name, changed_at in self._revision_by_changed_name.items()
            if changed_at > revision
        )
        return ObjectChanges(tuple(changes), max(self._revision, revision))

    def _remember_change(self, name: str, revision: int) -> None:
        # The names stay in the order of their latest changes.
        self._revision_by_changed_name.pop(name, None)
        if len(self._revision_by_changed_name) == _MAX_CHANGED_NAMES:
            oldest = next(iter(self._revision_by_changed_name))
            self._first_revision = self._revision_by_changed_name.pop(oldest)
        self._revision_by_changed_name[name] = revision

    def _latest_change(self, name: str) -> ObjectChange:
        return ObjectChange(
            name,
            self._documents_by_name.get(name),
            name not in self._documents_by_name,
        )

    def _notify(self) -> None:
        previous = self.changed
        self.changed = asyncio.Event()
        previous.set()
