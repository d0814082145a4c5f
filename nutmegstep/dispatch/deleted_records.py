"""Deletions of crash records that must outlast a restoration of the store."""

from collections.abc import Collection, Iterable, Set
from typing import Final

from nutmegstep.dispatch.control_events import CrashRecord

__all__ = ['DeletedRecords']

_KEEP_S: Final = 60.0
"""Time in seconds for which a deleted record is remembered; the copy from which
the store is restored is some seconds old."""


class DeletedRecords:
    """Records that were deleted, and those that a copy has brought back."""

    def __init__(self) -> None:
        self._deleted_at: dict[CrashRecord, float] = {}
        self._delete_again_at: dict[CrashRecord, float] = {}

    @property
    def returned(self) -> Set[CrashRecord]:
        """Records that are in the store and must not be."""
        return self._delete_again_at.keys()

    def record(self, records: Iterable[CrashRecord], now: float) -> None:
        """Remember that records were deleted."""
        for record in records:
            self._deleted_at[record] = now
            self._delete_again_at.pop(record, None)

    def schedule(self, listed: Collection[CrashRecord], instant: float) -> None:
        """Delete the records again that a restored store holds.

        Parameters
        ----------
        listed : collection of CrashRecord
            All records in the store.
        instant : float
            Monotonic time in seconds from which they are to be deleted.
        """
        returned = self._deleted_at.keys() & frozenset(listed)
        self._delete_again_at.update(dict.fromkeys(returned, instant))

    def take_due(self, now: float) -> list[CrashRecord]:
        """Return the records that are to be deleted again by now."""
        self._deleted_at = {
            record: deleted_at
            for record, deleted_at in self._deleted_at.items()
            if now < deleted_at + _KEEP_S
        }
        due = [
            record for record, at in self._delete_again_at.items() if at <= now
        ]
        for record in due:
            self._delete_again_at.pop(record)
        return due
