"""Registry of targets, built from their announcements in the store.

Announcements have a limited lifetime and are renewed by the targets. While the
store is unreachable they expire, so that a list that is read just after an
outage may lack live targets.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Final

__all__ = ['RETURN_GRACE', 'TargetRecord', 'TargetRegistry']

RETURN_GRACE: Final = timedelta(seconds=2)
"""Time after an outage of the store within which live targets have announced
themselves again; specified by the platform."""
_RESTORED_HOLD_S: Final = 5.0
"""Time in seconds after the restoration of the store for which a target that
had left is not used again. The store removes its announcement after three of the
target's heartbeats without a renewal, 3.6 s."""
_KEEP_DEPARTED_S: Final = 60.0
"""Time in seconds for which a departed target is remembered; the copy from which
the store is restored is some seconds old."""


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """Announcement of a target.

    Parameters
    ----------
    target_id : str
        Identifier of the target process.
    service : str
        Service that the target belongs to.
    host : str
        IP address.
    port : int
        TCP port.
    failure_domain : str
        Failure domain of the target.
    slots : int
        Number of requests that the target processes concurrently.
    is_draining : bool
        Whether the target is about to exit and accepts no new requests.
    cold_until : float
        Monotonic time in seconds until which the target is cold, that is,
        bears few requests because it started recently.
    started_ms : int
        Start of this incarnation of the target in Unix milliseconds.
    version : str
        Version of its software; empty if it is not announced.
    """

    target_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool
    cold_until: float
    started_ms: int
    version: str = ''

    def is_same_process(self, other: 'TargetRecord') -> bool:
        """Return whether two announcements come from the same process.

        A restarted target has another start time, and an address may be reused
        by another service.
        """
        mine = (self.started_ms, self.host, self.port, self.service)
        return mine == (other.started_ms, other.host, other.port, other.service)


class TargetRegistry:
    """Announced targets by identifier and by service.

    A target whose announcement disappears is removed at once, except within
    `RETURN_GRACE` after an outage of the store. In that time it is kept and
    expires at the end, unless it is announced again.

    A store that is restored from a copy announces targets again that had left,
    and some as serving that drain. These announcements are held back until live
    targets have renewed theirs and the store has removed the others.

    Attributes
    ----------
    by_id : dict
        Records of all targets by identifier.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, TargetRecord] = {}
        self._by_service: dict[str, tuple[TargetRecord, ...]] = {}
        self._domains: frozenset[str] | None = None
        self._expiry_by_id: dict[str, float] = {}
        self._grace_until = float(0)
        self._departed_by_id: dict[str, tuple[TargetRecord, float]] = {}
        self._held_by_id: dict[str, TargetRecord] = {}
        self._leaving_by_id: dict[str, TargetRecord] = {}
        self._restored_at = -math.inf

    def of_service(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the targets of a service, sorted by identifier."""
        found = self._by_service.get(service)
        if found is None:
            members = (
                record
                for record in self.by_id.values()
                if record.service == service
            )
            found = tuple(sorted(members, key=_id_of))
            self._by_service[service] = found
        return found

    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains of all targets."""
        if self._domains is None:
            self._domains = frozenset(
                record.failure_domain for record in self.by_id.values()
            )
        return self._domains

    def start_return_grace(self, now: float) -> None:
        """Keep targets that disappear within `RETURN_GRACE` from now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds at which the store answered again.
        """
        self._grace_until = now + RETURN_GRACE.total_seconds()

    def start_hold(self, now: float) -> None:
        """Hold back targets that drained or left before a restoration.

        Parameters
        ----------
        now : float
            Monotonic time in seconds at which the restoration was noticed.
        """
        self._restored_at = now

    def replace_all(
        self,
        records: Mapping[str, TargetRecord],
        now: float,
    ) -> tuple[str, ...]:
        """Replace all records with a complete list.

        Parameters
        ----------
        records : Mapping
            Records by identifier.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of str
            Identifiers of the targets that were removed.
        """
        missing = [name for name in self.by_id if name not in records]
        self._held_by_id.clear()
        for record in records.values():
            self.update(record, now)
        return tuple(name for name in missing if self.remove(name, now))

    def update(self, record: TargetRecord, now: float) -> bool:
        """Add or replace a record, or hold it back.

        Returns
        -------
        bool
            Whether the target is new or was restarted.
        """
        if self._must_hold(record, now):
            self._held_by_id[record.target_id] = record
            return False
        known = self.by_id.get(record.target_id)
        is_new = known is None or not known.is_same_process(record)
        leaving = self._leaving_by_id.get(record.target_id)
        is_leaving = leaving is not None and leaving.is_same_process(record)
        if not is_leaving:
            self._leaving_by_id.pop(record.target_id, None)
        self.by_id[record.target_id] = replace(
            record, is_draining=record.is_draining or is_leaving
        )
        self._expiry_by_id.pop(record.target_id, None)
        self._held_by_id.pop(record.target_id, None)
        self._departed_by_id.pop(record.target_id, None)
        self._by_service.clear()
        self._domains = None
        return is_new

    def mark_leaving(self, record: TargetRecord) -> bool:
        """Let a target drain that has said so itself, whatever is announced.

        Returns
        -------
        bool
            Whether it was not draining before.
        """
        known = self.by_id.get(record.target_id)
        if known is None or not known.is_same_process(record):
            return False
        self._leaving_by_id[record.target_id] = known
        if known.is_draining:
            return False
        self.by_id[record.target_id] = replace(known, is_draining=True)
        self._by_service.clear()
        return True

    def remove(self, target_id: str, now: float) -> bool:
        """Remove a target, or let it expire later if the store was unreachable.

        Returns
        -------
        bool
            Whether the target was removed at once.
        """
        self._held_by_id.pop(target_id, None)
        if target_id not in self.by_id:
            return False
        if now < self._grace_until:
            self._expiry_by_id[target_id] = self._grace_until
            return False
        self._drop((target_id,), now)
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove targets that were not announced again; return their names.

        Those that were held back and are still announced are added.
        """
        expired = tuple(
            name
            for name, expires_at in self._expiry_by_id.items()
            if expires_at <= now
        )
        self._drop(expired, now)
        self._forget_departed(now)
        if not self._is_holding(now):
            for record in tuple(self._held_by_id.values()):
                self.update(record, now)
        return expired

    def _must_hold(self, record: TargetRecord, now: float) -> bool:
        if not self._is_holding(now):
            return False
        known = self.by_id.get(record.target_id)
        if known is not None and known.is_same_process(record):
            return known.is_draining and not record.is_draining
        departed = self._departed_by_id.get(record.target_id)
        if departed is None or departed[1] >= self._restored_at:
            return False
        return departed[0].is_same_process(record)

    def _is_holding(self, now: float) -> bool:
        return now < self._restored_at + _RESTORED_HOLD_S

    def _forget_departed(self, now: float) -> None:
        self._departed_by_id = {
            name: (record, departed_at)
            for name, (record, departed_at) in self._departed_by_id.items()
            if now < departed_at + _KEEP_DEPARTED_S
        }
        self._leaving_by_id = {
            name: record
            for name, record in self._leaving_by_id.items()
            if name in self.by_id or name in self._departed_by_id
        }

    def _drop(self, target_ids: Iterable[str], now: float) -> None:
        for target_id in target_ids:
            record = self.by_id.pop(target_id, None)
            if record is not None:
                self._departed_by_id[target_id] = (record, now)
            self._expiry_by_id.pop(target_id, None)
        self._by_service.clear()
        self._domains = None


def _id_of(record: TargetRecord) -> str:
    return record.target_id
