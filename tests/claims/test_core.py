"""Tests of the claim reducer.

They check that a request runs at most once per key and that each verdict is
true.
"""

from random import Random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from nutmegstep.claims import ClaimPhase
from nutmegstep.claims.messages import ClaimOutcomeKnown
from nutmegstep.model import Answer
from nutmegstep.verdict import Reason, Verdict
from tests.claims.fakes import Cluster, make_key


@pytest.fixture
def cluster() -> Cluster:
    """Return a cluster without VMs."""
    return Cluster(Random(1))


def test_repeat_on_another_vm_gets_the_stored_answer(cluster: Cluster) -> None:
    """Guards against a second run when a caller repeats at another VM.

    A load balancer may send the repeat to a VM that did not run the request;
    it must fetch the stored answer from the claimer.
    """
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    answer = Answer('desk', 1, ('s',), (), {'s': b'{}'})
    cluster.settle(first, ClaimOutcomeKnown(key, answer, may_have_run=True))
    cluster.request(second, key, 2)
    cluster.run()
    assert [vm for vm, _ in cluster.won] == [first]
    assert [event.answer for event in cluster.replayed] == [answer]


def test_lost_write_answer_is_read_back(cluster: Cluster) -> None:
    """Guards against giving up a claim that the platform has stored.

    The reply of the write was lost; reading the journal shows the claim.
    """
    vm = cluster.start_vm()
    cluster.lost_answers = 1
    cluster.request(vm, make_key(cluster.clock, cluster.random), 1)
    cluster.run()
    assert len(cluster.won) == 1


def test_outage_after_lost_answer_never_sends(cluster: Cluster) -> None:
    """Guards against sending a request whose claim is undecided.

    The reply of the write is lost, and the platform fails before the journal
    can be read again.
    """
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
    """Guards against a key that can never be used again.

    The request of the first VM did not run; a later one must be allowed to.
    """
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    cluster.settle(first, ClaimOutcomeKnown(key, None, may_have_run=False))
    cluster.clock.advance(0.1)
    cluster.request(second, key, 2)
    cluster.run()
    assert [vm for vm, _ in cluster.won] == [first, second]


def test_request_older_than_the_abandonment_does_not_run(
    cluster: Cluster,
) -> None:
    """Guards against a run after the verdict that the request did not run.

    The second request arrived before the first VM abandoned the claim.
    """
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    cluster.request(second, key, 2)
    cluster.clock.advance(0.1)
    cluster.settle(first, ClaimOutcomeKnown(key, None, may_have_run=False))
    cluster.run()
    assert [vm for vm, _ in cluster.won] == [first]
    assert cluster.refused[0].refusal.reason is Reason.ALREADY_CLAIMED


def test_claimer_that_is_gone_may_have_run(cluster: Cluster) -> None:
    """Guards against a second run after the VM of the claimer is gone.

    Nobody can tell then whether the request of the first VM ran.
    """
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
    """Guards against an answer that belongs to a different request.

    Another VM holds the claim of the key.
    """
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(first, key, 1)
    cluster.run()
    cluster.request(second, key, 2, body=b'[]')
    cluster.run()
    assert cluster.refused[0].refusal.reason is Reason.KEY_REUSED


def test_key_with_another_body_is_refused_by_its_claimer(
    cluster: Cluster,
) -> None:
    """Guards against an answer that belongs to a different request.

    The same VM holds the claim and the stored answer of the key.
    """
    vm = cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    cluster.request(vm, key, 1)
    cluster.run()
    answer = Answer('desk', 1, ('s',), (), {'s': b'{}'})
    cluster.settle(vm, ClaimOutcomeKnown(key, answer, may_have_run=True))
    cluster.request(vm, key, 2, body=b'[]')
    cluster.run()
    assert not cluster.replayed
    assert cluster.refused[0].refusal.reason is Reason.KEY_REUSED


@pytest.mark.parametrize('number', range(200))
def test_each_request_gets_exactly_one_event(number: int) -> None:
    """Guards against requests that get no event, or more than one.

    Requests of two keys on three VMs meet platform failures, lost replies and
    calls that finish out of order.
    """
    random = Random(number)
    cluster = Cluster(random)
    vms = [cluster.start_vm() for _ in range(3)]
    keys = [make_key(cluster.clock, random) for _ in range(2)]
    for query_id in range(12):
        cluster.request(random.choice(vms), random.choice(keys), query_id)
        for _ in range(random.randrange(4)):
            cluster.platform_down = not random.randrange(5)
            cluster.lost_answers = random.randrange(2)
            if cluster.calls:
                cluster.step(random.randrange(len(cluster.calls)))
    cluster.platform_down = False
    cluster.run()
    won = [event for _, event in cluster.won]
    notified = [event.query_id for event in (*won, *cluster.refused)]
    assert sorted(notified) == list(range(12))


def test_claims_that_wait_for_a_journal_share_one_write(
    cluster: Cluster,
) -> None:
    """Guards against one platform write per request under load."""
    vm = cluster.start_vm()
    for query_id in range(400):
        key = make_key(cluster.clock, cluster.random)
        cluster.request(vm, key, query_id, timeout=5)
    cluster.run()
    assert len(cluster.won) == 400
    assert cluster.revision <= 32


def test_two_repeats_on_one_vm_take_an_abandoned_claim_over_once(
    cluster: Cluster,
) -> None:
    """Guards against a second run when two repeats take a claim over.

    Both repeats reach one VM after the claim was abandoned; a later request
    at a third VM must not find the claim abandoned while it is in use.
    """
    vms = [cluster.start_vm() for _ in range(3)]
    key = make_key(cluster.clock, cluster.random)
    cluster.request(vms[0], key, 1)
    cluster.run()
    cluster.settle(vms[0], ClaimOutcomeKnown(key, None, may_have_run=False))
    cluster.clock.advance(0.1)
    cluster.request(vms[1], key, 2)
    cluster.step(0)
    cluster.request(vms[1], key, 3)
    cluster.run()
    cluster.clock.advance(0.1)
    cluster.request(vms[2], key, 4)
    cluster.run()
    assert [vm for vm, _ in cluster.won] == vms[:2]


def test_evicted_claim_is_never_reported_as_abandoned(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run after a claim was evicted from memory.

    A repeat at the same VM is refused and marked as abandoned, while the
    journal still holds the evicted claim, whose request may have run.
    """
    monkeypatch.setattr('nutmegstep.claims.local._MAX_CLAIMS', 1)
    first, second = cluster.start_vm(), cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    for query_id, claimed in enumerate(
        (key, make_key(cluster.clock, cluster.random)),
    ):
        cluster.request(first, claimed, query_id)
        cluster.run()
        cluster.settle(
            first, ClaimOutcomeKnown(claimed, None, may_have_run=True)
        )
    cluster.request(first, key, 2)
    cluster.run()
    cluster.clock.advance(0.1)
    cluster.request(second, key, 3)
    cluster.run()
    assert len(cluster.won) == 2
    verdicts = {event.refusal.verdict for event in cluster.refused}
    assert verdicts == {Verdict.MAY_HAVE_RUN}


def test_claim_for_a_full_journal_is_abandoned(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against repeats that wait for a claim that is not stored.

    The write of the claim was refused because the journal was full.
    """
    vm = cluster.start_vm()
    key = make_key(cluster.clock, cluster.random)
    monkeypatch.setattr('nutmegstep.claims.commit.MAX_BYTES', 0)
    cluster.request(vm, key, 1)
    cluster.run()
    assert cluster.refused[0].refusal.reason is Reason.CLAIM_UNAVAILABLE
    status = cluster.vms_by_name[vm].local_claims.status(key.bytes, 0)
    assert status.phase is ClaimPhase.ABANDONED


@seed(20261204)
@settings(max_examples=300, deadline=None, database=None)
@given(st.data())
def test_random_histories_send_each_key_at_most_once(
    drawn: st.DataObject,
) -> None:
    """Guards against second runs under random faults.

    Calls finish out of order, replies are lost and the platform fails. After
    an abandonment, no request that arrived before it may win the claim.
    """
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
            cluster.settle(unsettled.pop(), ClaimOutcomeKnown(key, None, sent))
        assert len(unsettled) + may_have_run <= 1
