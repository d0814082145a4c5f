"""Known targets, merged from announcements that lag, lapse and return."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

__all__ = ['RETURN_GRACE', 'TargetRecord', 'TargetRegistry']

RETURN_GRACE: Final = timedelta(seconds=2)
"""Time after regained contact with the store in which lapsed entries of live
targets reappear; the platform states it."""


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """What a target announces about itself.

    Parameters
    ----------
    target_id : str
        Identifier of the target process.
    service : str
        Service that the target belongs to.
    host : str
        IP number.
    port : int
        TCP port.
    failure_domain : str
        Failure domain of the target.
    slots : int
        Requests that the target processes concurrently.
    is_draining : bool
        Whether the target leaves and takes no new work.
    cold_until : float
        Monotonic instant at which the target stops being cold.
    started_ms : int
        Unix milliseconds of the start of this incarnation.
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

    def is_same_process(self, other: 'TargetRecord') -> bool:
        """Whether two announcements come from one incarnation."""
        mine = (self.started_ms, self.host, self.port, self.service)
        return mine == (other.started_ms, other.host, other.port, other.service)


class TargetRegistry:
    """Targets that may be used, by identifier and by service.

    An entry that disappears is dropped at once, unless contact with the
    store was regained a moment ago: entries of live targets lapse while the
    store is away and reappear within `RETURN_GRACE`.

    Attributes
    ----------
    by_id : dict
        Records of all known targets.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, TargetRecord] = {}
        self._by_service: dict[str, tuple[TargetRecord, ...]] = {}
        self._expiry_by_id: dict[str, float] = {}
        self._grace_until = float(0)

    def of_service(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the known targets of a service, in a stable order."""
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

    def start_return_grace(self, now: float) -> None:
        """Keep entries that are missing for a moment from now on."""
        self._grace_until = now + RETURN_GRACE.total_seconds()

    def replace_all(
        self,
        records: Mapping[str, TargetRecord],
        now: float,
    ) -> tuple[str, ...]:
        """Take a whole list; return the identifiers that were dropped."""
        missing = [name for name in self.by_id if name not in records]
        for record in records.values():
            self.update(record)
        return tuple(name for name in missing if self.remove(name, now))

    def update(self, record: TargetRecord) -> bool:
        """Take one entry; return whether it is a new incarnation."""
        known = self.by_id.get(record.target_id)
        self.by_id[record.target_id] = record
        self._expiry_by_id.pop(record.target_id, None)
        self._by_service.clear()
        return known is None or not known.is_same_process(record)

    def remove(self, target_id: str, now: float) -> bool:
        """Take a removal; return whether the target was dropped."""
        if target_id not in self.by_id:
            return False
        if now < self._grace_until:
            self._expiry_by_id[target_id] = self._grace_until
            return False
        self._drop((target_id,))
        return True

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop entries that have not reappeared; return their identifiers."""
        expired = tuple(
            name
            for name, expires_at in self._expiry_by_id.items()
            if expires_at <= now
        )
        self._drop(expired)
        return expired

    def next_expiry(self) -> float | None:
        """Return the instant at which `expire` has something to do."""
        return min(self._expiry_by_id.values(), default=None)

    def _drop(self, target_ids: Iterable[str]) -> None:
        for target_id in target_ids:
            self.by_id.pop(target_id, None)
            self._expiry_by_id.pop(target_id, None)
        self._by_service.clear()


def _id_of(record: TargetRecord) -> str:
    return record.target_id
