"""Tests of queues and limits of admission."""

from nutmegstep.admission import AdmissionController, Decision
from nutmegstep.model import WorkClass


def _fill(
    admission: AdmissionController, work_class: WorkClass, first: int
) -> None:
    query_id = first
    while not admission.is_full(work_class):
        admission.enqueue_query(query_id, 'stock', work_class, 1)
        query_id += 1


def test_queries_of_the_lowest_class_are_evicted() -> None:
    """Guards against queued batch queries that keep out critical ones."""
    admission = AdmissionController()
    _fill(admission, WorkClass.BATCH, 1000)
    _fill(admission, WorkClass.INTERACTIVE, 2000)
    evicted = []
    for query_id in range(40):
        assert not admission.is_full(WorkClass.CRITICAL)
        evicted.append(
            admission.enqueue_query(query_id, 'stock', WorkClass.CRITICAL, 1),
        )
    assert admission.queued == 96
    assert evicted[16:18] == [1015, 1014]
    assert admission.is_full(WorkClass.BATCH)


def test_highest_class_starts_first_within_the_limit() -> None:
    """Guards against starts beyond the limit or in the wrong order."""
    admission = AdmissionController()
    admission.start('stock', 3)
    admission.enqueue_query(1, 'stock', WorkClass.BATCH, 1)
    admission.enqueue_query(2, 'stock', WorkClass.CRITICAL, 1)
    assert admission.pop_next(lambda service: 3) is None
    assert admission.pop_next(lambda service: 4) == 2


def test_busy_service_does_not_block_another() -> None:
    """Guards against a query that waits for the limit of another service."""
    admission = AdmissionController()
    admission.start('stock', 3)
    admission.enqueue_query(1, 'stock', WorkClass.BATCH, 1)
    decision = admission.decide('desk', WorkClass.BATCH, cost=1, limit=1)
    assert decision is Decision.START
