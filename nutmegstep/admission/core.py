"""Decides which queries start, are queued or are refused."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from nutmegstep.model import WorkClass

__all__ = ['AdmissionController', 'Decision']

# Queues hold the work of a fraction of a second. Longer ones would fill with
# queries whose callers have given up and sent them again.
_MAX_QUEUED_BY_CLASS: Final = MappingProxyType(
    {
        WorkClass.CRITICAL: 64,
        WorkClass.INTERACTIVE: 64,
        WorkClass.BATCH: 16,
    },
)
_MAX_QUEUED: Final = 96
_CLASSES_HIGHEST_FIRST: Final = (
    WorkClass.CRITICAL,
    WorkClass.INTERACTIVE,
    WorkClass.BATCH,
)


@enum.unique
class Decision(enum.Enum):
    """Decision about a query that arrives."""

    START = 'start'
    QUEUE = 'queue'
    REFUSE = 'refuse'


@dataclass(frozen=True, slots=True)
class _Queued:
    service: str
    cost: int


def _new_queues() -> dict[WorkClass, dict[int, _Queued]]:
    return {work_class: {} for work_class in _CLASSES_HIGHEST_FIRST}


def _new_id_sets() -> dict[WorkClass, set[int]]:
    return {work_class: set() for work_class in _CLASSES_HIGHEST_FIRST}


@dataclass(slots=True)
class AdmissionController:
    """Load of each service and bounded queues of each work class.

    Parameters
    ----------
    active_by_service : dict
        Number of shard requests of the queries in progress.
    queued_by_class : dict
        Queued queries of each class by identifier, oldest first.
    one_shots_by_class : dict
        One-shot requests of each class that wait for a slot of a target.

    Examples
    --------
    >>> admission = AdmissionController()
    >>> admission.decide('stock', WorkClass.BATCH, cost=2, limit=2)
    <Decision.START: 'start'>
    >>> admission.start('stock', 2)
    >>> admission.decide('stock', WorkClass.BATCH, cost=2, limit=2)
    <Decision.QUEUE: 'queue'>
    """

    active_by_service: dict[str, int] = field(default_factory=dict)
    queued_by_class: dict[WorkClass, dict[int, _Queued]] = field(
        default_factory=_new_queues,
    )
    one_shots_by_class: dict[WorkClass, set[int]] = field(
        default_factory=_new_id_sets,
    )

    @property
    def queued(self) -> int:
        """Number of queued queries and one-shot requests."""
        queries = sum(map(len, self.queued_by_class.values()))
        return queries + sum(map(len, self.one_shots_by_class.values()))

    def is_full(self, work_class: WorkClass) -> bool:
        """Return whether no further request of a class can be queued.

        A class is not full while queries of a lower class can be evicted.
        """
        waiting = len(self.queued_by_class[work_class])
        waiting += len(self.one_shots_by_class[work_class])
        if waiting >= _MAX_QUEUED_BY_CLASS[work_class]:
            return True
        return self.queued >= _MAX_QUEUED and not self._has_lower_class_query(
            work_class
        )

    def decide(
        self,
        service: str,
        work_class: WorkClass,
        cost: int,
        limit: int,
    ) -> Decision:
        """Return whether a query starts, is queued or is refused.

        Parameters
        ----------
        service : str
            Name of the service.
        work_class : WorkClass
            Work class of the service.
        cost : int
            Number of shard requests of the query.
        limit : int
            Number of shard requests that the service may have in progress.
        """
        waiting = self.queued_by_class[work_class].values()
        is_first = all(queued.service != service for queued in waiting)
        if is_first and self._fits(service, cost, limit):
            return Decision.START
        if self.is_full(work_class):
            return Decision.REFUSE
        return Decision.QUEUE

    def start(self, service: str, cost: int) -> None:
        """Add the shard requests of a query that starts."""
        active = self.active_by_service.get(service, 0)
        self.active_by_service[service] = active + cost

    def finish(self, service: str, cost: int) -> None:
        """Subtract the shard requests of a query that ended."""
        self.active_by_service[service] -= cost

    def enqueue_query(
        self,
        query_id: int,
        service: str,
        work_class: WorkClass,
        cost: int,
    ) -> int | None:
        """Add a query to the queue of its class.

        Returns
        -------
        int or None
            Query that was evicted because the queues are full: the newest one
            of the lowest class. None if there was room.
        """
        evicted = self._evict_if_full()
        self.queued_by_class[work_class][query_id] = _Queued(service, cost)
        return evicted

    def enqueue_one_shot(
        self, query_id: int, work_class: WorkClass
    ) -> int | None:
        """Add a one-shot request to its class, which must not be full.

        Returns
        -------
        int or None
            Query that was evicted because the queues are full: the newest one
            of the lowest class. None if there was room. One-shot requests are
            not evicted, because they hold a claim.
        """
        if query_id in self.one_shots_by_class[work_class]:
            return None
        evicted = self._evict_if_full()
        self.one_shots_by_class[work_class].add(query_id)
        return evicted

    def remove_one_shot(self, query_id: int) -> None:
        """Remove a one-shot request that was sent or has ended."""
        for waiting in self.one_shots_by_class.values():
            waiting.discard(query_id)

    def remove_query(self, query_id: int, work_class: WorkClass) -> None:
        """Remove a query from its queue."""
        self.queued_by_class[work_class].pop(query_id, None)

    def pop_next(self, limit_of: Callable[[str], int]) -> int | None:
        """Remove and return the first query that fits the limit of its service.

        Higher classes come first; None if no query fits.
        """
        for work_class in _CLASSES_HIGHEST_FIRST:
            waiting = self.queued_by_class[work_class]
            for query_id, queued in waiting.items():
                limit = limit_of(queued.service)
                if self._fits(queued.service, queued.cost, limit):
                    del waiting[query_id]
                    return query_id
        return None

    def _fits(self, service: str, cost: int, limit: int) -> bool:
        active = self.active_by_service.get(service, 0)
        # A query whose cost exceeds the limit can still run alone.
        return not active or active + cost <= limit

    def _has_lower_class_query(self, work_class: WorkClass) -> bool:
        position = _CLASSES_HIGHEST_FIRST.index(work_class)
        lower = _CLASSES_HIGHEST_FIRST[position + 1 :]
        return any(self.queued_by_class[other] for other in lower)

    def _evict_if_full(self) -> int | None:
        if self.queued < _MAX_QUEUED:
            return None
        return self._evict_newest_of_lowest()

    def _evict_newest_of_lowest(self) -> int:
        lowest = next(
            waiting
            for work_class in reversed(_CLASSES_HIGHEST_FIRST)
            if (waiting := self.queued_by_class[work_class])
        )
        query_id, _ = lowest.popitem()
        return query_id
