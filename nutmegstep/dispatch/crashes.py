"""Requests that crash the targets that run them.

Callers send a failed request again, as a new attempt and to any VM. A request
that crashes each target would end one after the other. So each VM records in
the store which content was in flight on a target as it crashed, and all VMs
refuse content that was there too often.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from operator import itemgetter
from typing import Final

from nutmegstep.dispatch.control_events import CrashRecord
from nutmegstep.dispatch.deleted_records import DeletedRecords

__all__ = ['KEEP_SECONDS', 'CrashRecords']

KEEP_SECONDS: Final = 1800.0
"""Time for which a crash is remembered."""
_MAX_CRASHES: Final = 3
"""Crashes from which a request is refused."""
_MAX_PUBLISHED: Final = 16
"""Most crashes that are published at once. All content that was in flight on a
crashed target is suspected at first."""
_EXPIRY_SPREAD: Final = 0.1
"""Share of the time by which VMs forget crashes at different moments, so that
one of them deletes the record before the others try to."""
_REWRITE_SPREAD_S: Final = 5.0
"""Time in seconds over which the VMs repeat the writes that a restored store has
lost, so that one of them does it before the others try to."""


@dataclass(slots=True)
class _Crash:
    """A crashed target on which some content was in flight.

    Attributes
    ----------
    seen_at : float
        Monotonic time in seconds at which this VM learned of it.
    is_published : bool
        Whether the record is in the store or on its way.
    is_stored : bool
        Whether the record has been read from the store.
    publish_at : float
        Monotonic time in seconds from which the record may be published.
    """

    seen_at: float
    is_published: bool = False
    is_stored: bool = False
    publish_at: float = 0


class CrashRecords:
    """Crashes that this VM has observed or read from the store.

    Attributes
    ----------
    awaits_copy : bool
        Whether the next list of records is that of a restored store.
    deleted : DeletedRecords
        Records that were deleted from the store.
    """

    def __init__(self) -> None:
        self._crashes_by_content: dict[str, dict[str, _Crash]] = {}
        self.awaits_copy = False
        self.deleted = DeletedRecords()

    @property
    def is_empty(self) -> bool:
        """Whether no content is suspected."""
        return not self._crashes_by_content

    def count(self, content: str) -> int:
        """Return the number of crashes for which content is suspected."""
        return len(self._crashes_by_content.get(content, ()))

    def is_refused(self, content: str) -> bool:
        """Return whether content has crashed too many targets."""
        return self.count(content) >= _MAX_CRASHES

    def clear(self, content: str, now: float) -> list[CrashRecord]:
        """Forget the crashes of content that a target has run.

        Parameters
        ----------
        content : str
            Digest of the content.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of CrashRecord
            Records to delete from the store.
        """
        crashes = self._crashes_by_content.pop(content, {})
        published = [
            CrashRecord(content, incarnation)
            for incarnation, crash in crashes.items()
            if crash.is_published
        ]
        self.deleted.record(published, now)
        return published

    def record_crash(self, record: CrashRecord, now: float) -> bool:
        """Add a crash that this VM has observed.

        Returns
        -------
        bool
            Whether the content is refused from now on.
        """
        was_refused = self.is_refused(record.content)
        crashes = self._crashes_by_content.setdefault(record.content, {})
        crashes.setdefault(record.incarnation, _Crash(now))
        return self.is_refused(record.content) and not was_refused

    def take_unpublished(self, now: float) -> list[CrashRecord]:
        """Return the crashes to write to the store, most suspected first."""
        unpublished = [
            (self.count(record.content), record, crash)
            for record, crash in self._items()
            if not crash.is_published and crash.publish_at <= now
        ]
        unpublished.sort(key=itemgetter(0), reverse=True)
        taken = unpublished[:_MAX_PUBLISHED]
        for _, _, crash in taken:
            crash.is_published = True
        return [record for _, record, _ in taken]

    def record_stored(self, record: CrashRecord, now: float) -> bool:
        """Add a crash from the store; return whether its content is refused
        from now on.
        """
        is_refused_now = self.record_crash(record, now)
        crash = self._crashes_by_content[record.content][record.incarnation]
        crash.is_published = True
        crash.is_stored = True
        return is_refused_now

    def replace_stored(
        self, listed: Collection[CrashRecord], now: float, phase: float
    ) -> list[CrashRecord]:
        """Replace the records that are known from the store.

        Crashes whose records have been deleted are forgotten. A store that was
        restored from a copy lacks records and holds deleted ones again: those
        writes are repeated, at different times on the VMs.

        Parameters
        ----------
        listed : collection of CrashRecord
            All records in the store.
        now : float
            Monotonic time in seconds.
        phase : float
            Number from 0 to 1 that spreads the VMs.

        Returns
        -------
        list of CrashRecord
            Crashes whose content is refused from now on.
        """
        if self.awaits_copy:
            self.awaits_copy = False
            self._schedule_rewrites(listed, now + _REWRITE_SPREAD_S * phase)
        self._remove(
            record
            for record, crash in self._items()
            if crash.is_stored and record not in listed
        )
        return [
            record
            for record in listed
            if record not in self.deleted and self.record_stored(record, now)
        ]

    def forget(self, record: CrashRecord, now: float) -> None:
        """Forget a crash whose record has been deleted from the store."""
        self.deleted.record((record,), now)
        self._remove((record,))

    def expire(self, now: float, phase: float) -> list[CrashRecord]:
        """Forget old crashes; return those to delete from the store.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        phase : float
            Number from 0 to 1 that spreads the VMs.
        """
        seen_before = now - KEEP_SECONDS * (1 + _EXPIRY_SPREAD * phase)
        expired = [
            (record, crash)
            for record, crash in self._items()
            if crash.seen_at < seen_before
        ]
        self._remove(record for record, _ in expired)
        published = [record for record, crash in expired if crash.is_published]
        self.deleted.record(published, now)
        return published

    def _schedule_rewrites(
        self, listed: Collection[CrashRecord], rewrite_at: float
    ) -> None:
        lost = (
            crash
            for record, crash in self._items()
            if crash.is_published and record not in listed
        )
        for crash in lost:
            crash.is_published = False
            crash.is_stored = False
            crash.publish_at = rewrite_at
        self.deleted.schedule(listed, rewrite_at)

    def _items(self) -> Iterator[tuple[CrashRecord, _Crash]]:
        for content, crashes in self._crashes_by_content.items():
            for incarnation, crash in crashes.items():
                yield CrashRecord(content, incarnation), crash

    def _remove(self, records: Iterable[CrashRecord]) -> None:
        for record in tuple(records):
            crashes = self._crashes_by_content.get(record.content, {})
            crashes.pop(record.incarnation, None)
            if not crashes:
                self._crashes_by_content.pop(record.content, None)
