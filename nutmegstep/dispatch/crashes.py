"""Requests that crash the targets that run them.

Callers send a failed request again, as a new attempt and to any VM. A request
that crashes each target would end one after the other. So each VM records in
the store which content was in flight on a target as it crashed. All VMs then
send such content to one target at a time. Many targets that crash at once, as in a
power cut, count as one: only a send that was made when a crash was known adds
another. After several crashes content is restricted: until it has run again, the
VMs send it in probes only, one every few seconds in the whole fleet. They refuse
it once a probe has crashed its target too, unless other targets have ended in the
same second.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from operator import itemgetter
from typing import Final

from nutmegstep.dispatch.content_crashes import (
    CLEAR_SECONDS,
    ContentCrashes,
    Crash,
)
from nutmegstep.dispatch.control_events import CrashRecord
from nutmegstep.dispatch.deleted_records import DeletedRecords
from nutmegstep.dispatch.probe_watch import ProbeWatch

__all__ = ['KEEP_SECONDS', 'CrashRecords']

KEEP_SECONDS: Final = 1800.0
"""Time for which a crash is remembered."""
_MAX_PUBLISHED: Final = 16
"""Most crashes that are published at once. All content that was in flight on a
crashed target is suspected at first."""
_EXPIRY_SPREAD: Final = 0.1
"""Share of the time by which VMs forget crashes at different moments, so that
one of them deletes the record before the others try to."""
_REWRITE_SPREAD_S: Final = 5.0
"""Time in seconds over which the VMs repeat the writes that a restored store has
lost, so that one of them does it before the others try to."""


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
        self._crashes_by_content: dict[str, ContentCrashes] = {}
        self._barred: set[tuple[str, bool]] = set()
        self.awaits_copy = False
        self.deleted = DeletedRecords()

    @property
    def is_empty(self) -> bool:
        """Whether no content is suspected."""
        return not self._crashes_by_content

    def find(self, content: str) -> ContentCrashes:
        """Return the crashes for which content is suspected."""
        return self._crashes_by_content.get(content, ContentCrashes())

    def of_content(self, content: str) -> ContentCrashes:
        """Return the crashes of content, to which others may be added."""
        return self._crashes_by_content.setdefault(content, ContentCrashes())

    def watches(self) -> list[ProbeWatch]:
        """Return the probes of this VM."""
        watches = (one.watch for one in self._crashes_by_content.values())
        return [one for one in watches if one is not None]

    def take_barred(self, now: float) -> list[tuple[str, bool]]:
        """Return the content that is restricted or refused from now on.

        Returns
        -------
        list of tuple of (str, bool)
            Digest of the content, and whether it is refused.
        """
        barred = {
            (content, known.is_refused)
            for content, known in self._crashes_by_content.items()
            if known.is_refused or known.is_restricted(now)
        }
        added = barred - self._barred
        self._barred = barred
        return sorted(added)

    def clear(
        self, content: str, service: str, now: float
    ) -> list[CrashRecord]:
        """Forget the crashes of content if a target of such a service has run it.

        A success on another shard is no proof: content may crash the targets of
        some shards only.

        Parameters
        ----------
        content : str
            Digest of the content.
        service : str
            Service of the target that has run it.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of CrashRecord
            Records to delete from the store.
        """
        if not self.find(content).services & {service, ''}:
            return []
        crashes = self._crashes_by_content.pop(content).by_record
        published = [
            record for record, crash in crashes.items() if crash.is_published
        ]
        self.deleted.record(published, now)
        return published

    def take_unpublished(self, now: float) -> list[CrashRecord]:
        """Return the crashes to write to the store, most suspected first."""
        unpublished = [
            (self.find(record.content).count(), record, crash)
            for record, crash in _items(self._crashes_by_content)
            if not crash.is_published and crash.publish_at <= now
        ]
        unpublished.sort(key=itemgetter(0), reverse=True)
        taken = unpublished[:_MAX_PUBLISHED]
        for _, _, crash in taken:
            crash.is_published = True
        return [record for _, record, _ in taken]

    def record_stored(
        self, record: CrashRecord, seen_at: float, next_send_id: int
    ) -> None:
        """Add a crash from the store."""
        by_record = self.of_content(record.content).by_record
        crash = by_record.setdefault(record, Crash(seen_at, next_send_id))
        crash.is_published = True
        crash.is_stored = True

    def replace_stored(
        self,
        listed: Collection[CrashRecord],
        now: float,
        next_send_id: int,
        phase: float,
    ) -> None:
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
        next_send_id : int
            Identifier of the next send of this VM.
        phase : float
            Number from 0 to 1 that spreads the VMs.
        """
        if self.awaits_copy:
            self.awaits_copy = False
            self._schedule_rewrites(listed, now + _REWRITE_SPREAD_S * phase)
        self._remove(
            record
            for record, crash in _items(self._crashes_by_content)
            if crash.is_stored and record not in listed
        )
        for record in frozenset(listed).difference(self.deleted.returned):
            # It may have been written long ago.
            self.record_stored(record, now - CLEAR_SECONDS, next_send_id)

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
            for record, crash in _items(self._crashes_by_content)
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
            for record, crash in _items(self._crashes_by_content)
            if crash.is_published and record not in listed
        )
        for crash in lost:
            crash.is_published = False
            crash.is_stored = False
            crash.publish_at = rewrite_at
        self.deleted.schedule(listed, rewrite_at)

    def _remove(self, records: Iterable[CrashRecord]) -> None:
        for record in tuple(records):
            by_record = self.of_content(record.content).by_record
            by_record.pop(record, None)
            if not by_record:
                self._crashes_by_content.pop(record.content)


def _items(
    crashes_by_content: Mapping[str, ContentCrashes],
) -> Iterator[tuple[CrashRecord, Crash]]:
    for crashes in crashes_by_content.values():
        yield from crashes.by_record.items()
