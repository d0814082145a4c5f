"""Tests that a key is sent at most once and that verdicts are true."""

from random import Random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from nutmegstep.claims.messages import ClaimSettled
from nutmegstep.model import Answer
from nutmegstep.verdict import Reason, Verdict
from tests.claims.fakes import Cluster, make_key


@pytest.fixture
def cluster() -> Cluster:
    """Return a cluster without VMs."""
    return Cluster(Random(1))


def test_repeat_on_another_vm_gets_the_stored_answer(cluster: Cluster) -> None:
    """Guards against a second run after the balancer moved the caller."""
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    answer = Answer('desk', 1, ('s',), (), {'s': b'{}'})
    cluster.settle(first, ClaimSettled(key, answer, may_have_run=True))
    cluster.request(second, key, 2)
    cluster.run()
    assert [vm for vm, _ in cluster.won] == [first]
    assert [event.answer for event in cluster.replayed] == [answer]


def test_lost_write_answer_is_read_back(cluster: Cluster) -> None:
    """Guards against giving up a claim that the platform has stored."""
    vm = cluster.start_vm()
    cluster.lost_answers = 1
    cluster.request(vm, make_key(cluster.clock, cluster.random), 1)
    cluster.run()
    assert len(cluster.won) == 1


def test_outage_after_lost_answer_never_sends(cluster: Cluster) -> None:
    """Guards against sending a request whose claim is undecided."""
    vm = cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(vm, key, 1)
    cluster.step(0)
    cluster.lost_answers = 1
    cluster.step(0)
    cluster.platform_down = True
    cluster.run()
    assert not cluster.won
    refusal = cluster.refused[0].refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.attempt_verdict is Verdict.NOT_RUN


def test_abandoned_claim_is_taken_over_by_a_newer_request(
    cluster: Cluster,
) -> None:
    """Guards against a key that can never run after a refusal."""
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    cluster.settle(first, ClaimSettled(key, None, may_have_run=False))
    cluster.clock.advance(0.1)
    cluster.request(second, key, 2)
    cluster.run()
    assert [vm for vm, _ in cluster.won] == [first, second]


def test_request_older_than_the_abandonment_does_not_run(
    cluster: Cluster,
) -> None:
    """Guards against a run after the caller was told that it did not run."""
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    cluster.request(second, key, 2)
    cluster.clock.advance(0.1)
    cluster.settle(first, ClaimSettled(key, None, may_have_run=False))
    cluster.run()
    assert [vm for vm, _ in cluster.won] == [first]
    assert cluster.refused[0].refusal.reason is Reason.ALREADY_CLAIMED


def test_claimer_that_is_gone_may_have_run(cluster: Cluster) -> None:
    """Guards against a second run after the claimer's VM was replaced."""
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    cluster.vms_by_name.pop(first)
    cluster.request(second, key, 2)
    cluster.run()
    assert len(cluster.won) == 1
    assert cluster.refused[0].refusal.verdict is Verdict.MAY_HAVE_RUN


def test_key_with_another_body_is_refused(cluster: Cluster) -> None:
    """Guards against answering with the result of a different request."""
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    cluster.request(second, key, 2, body=b'[]')
    cluster.run()
    assert cluster.refused[0].refusal.reason is Reason.KEY_REUSED


def test_claims_that_wait_for_a_journal_share_one_write(
    cluster: Cluster,
) -> None:
    """Guards against one platform write for each request."""
    vm = cluster.start_vm()
    for query_id in range(400):
        key = make_key(cluster.clock, cluster.random)
        cluster.request(vm, key, query_id, timeout=5)
    cluster.run()
    assert len(cluster.won) == 400
    assert cluster.revision <= 32


@seed(20261204)
@settings(max_examples=300, deadline=None, database=None)
@given(st.data())
def test_random_histories_send_each_key_at_most_once(
    drawn: st.DataObject,
) -> None:
    """Guards against double runs under reordered calls and lost answers."""
    cluster = Cluster(Random(drawn.draw(st.integers(0, 99))))
    vms = [cluster.start_vm() for _ in range(3)]
    key = make_key(cluster.clock, cluster.random)
    unsettled: list[int] = []
    arrived_by_query: dict[int, float] = {}
    abandoned_at = -1.0
    may_have_run = 0
    for query_id in range(drawn.draw(st.integers(2, 12))):
        cluster.request(drawn.draw(st.sampled_from(vms)), key, query_id)
        arrived_by_query[query_id] = cluster.clock.monotonic()
        for _ in range(drawn.draw(st.integers(0, 4))):
            cluster.platform_down = drawn.draw(st.integers(0, 5)) == 0
            cluster.lost_answers = drawn.draw(st.integers(0, 1))
            if cluster.calls:
                last = len(cluster.calls) - 1
                cluster.step(drawn.draw(st.integers(0, last)))
        for vm, event in cluster.won:
            unsettled.append(vm)
            assert arrived_by_query[event.query_id] >= abandoned_at
        cluster.won.clear()
        if unsettled and drawn.draw(st.booleans()):
            sent = drawn.draw(st.booleans())
            may_have_run += sent
            if not sent:
                abandoned_at = cluster.clock.monotonic()
            cluster.settle(unsettled.pop(), ClaimSettled(key, None, sent))
        assert len(unsettled) + may_have_run <= 1
