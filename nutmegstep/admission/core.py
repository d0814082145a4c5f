"""Decides which queries start, wait or are refused."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from nutmegstep.model import WorkClass

__all__ = ['AdmissionController', 'Decision']

# A queue holds work for a fraction of a second: longer ones only fill with
# queries whose callers have already retried.
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
    """What happens to a query that arrives."""

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
    """Queries in progress and queries that wait.

    Parameters
    ----------
    active_by_service : dict
        Shard requests of the queries in progress.
    queued_by_class : dict
        Waiting queries of each class by identifier, oldest first.
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
        """Number of waiting queries and one-shot requests."""
        queries = sum(map(len, self.queued_by_class.values()))
        return queries + sum(map(len, self.one_shots_by_class.values()))

    def is_full(self, work_class: WorkClass) -> bool:
        """Return whether a request of a class would find no place to wait."""
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
        """Return what happens to a query.

        Parameters
        ----------
        service : str
            Name of the service.
        work_class : WorkClass
            Its class.
        cost : int
            Shard requests of the query.
        limit : int
            Shard requests that the service may have in progress.
        """
        waiting = self.queued_by_class[work_class].values()
        is_first = all(queued.service != service for queued in waiting)
        if is_first and self._fits(service, cost, limit):
            return Decision.START
        if self.is_full(work_class):
            return Decision.REFUSE
        return Decision.QUEUE

    def start(self, service: str, cost: int) -> None:
        """Count a query that starts."""
        active = self.active_by_service.get(service, 0)
        self.active_by_service[service] = active + cost

    def finish(self, service: str, cost: int) -> None:
        """Count a query that ended."""
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
            The newest query of the lowest class, when it must make room.
        """
        dropped = self._evict_if_full()
        self.queued_by_class[work_class][query_id] = _Queued(service, cost)
        return dropped

    def enqueue_one_shot(
        self, query_id: int, work_class: WorkClass
    ) -> int | None:
        """Let a one-shot request wait; the class must not be full.

        Returns
        -------
        int or None
            The newest query of the lowest class, when it must make room. A
            waiting one-shot request is never dropped, because it holds a
            claim.
        """
        if query_id in self.one_shots_by_class[work_class]:
            return None
        dropped = self._evict_if_full()
        self.one_shots_by_class[work_class].add(query_id)
        return dropped

    def remove_one_shot(self, query_id: int) -> None:
        """Forget a one-shot request that waits no longer."""
        for waiting in self.one_shots_by_class.values():
            waiting.discard(query_id)

    def remove_query(self, query_id: int, work_class: WorkClass) -> None:
        """Take a query out of its queue."""
        self.queued_by_class[work_class].pop(query_id, None)

    def pop_next(self, limit_of: Callable[[str], int]) -> int | None:
        """Take the first query whose service has room, highest class first."""
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
        # A query that is larger than the limit still runs alone.
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
