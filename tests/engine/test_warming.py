"""Tests of cold targets in the reducer (G3)."""

from nutmegstep.engine import cold_targets_to_lease
from nutmegstep.engine import effects as fx
from nutmegstep.engine import events as ev


def test_cold_target_receives_only_leased_requests(build) -> None:
    """Guards against requests to a cold target that its lease does not allow.

    Without a lease nothing is sent. With one, the number of requests is
    limited to the cold slots and their deadline to two seconds. A request
    that still waits when the lease expires is refused.
    """
    engine = build()
    engine.state.warmup.state_by_target.clear()
    engine.query(1, record_key='k', deadline=9)
    assert 'cold' in engine.only_effect(fx.ReplyRefusal).refusal.detail
    leases = {f'{shard}-0': 3.0 for shard in 'ab'}
    engine.apply(ev.LeasesChanged(leases))
    engine.query(2, record_key='k', deadline=9)
    send = engine.only_effect(fx.SendToTarget)
    assert (send.target[-1], send.deadline) == ('0', 2)
    engine.query(3, record_key='k', deadline=9)
    assert not engine.effects_of(fx.SendToTarget)
    engine.apply(ev.TargetAnswered(send.attempt_id, 1, 'b', b'1'), 1)
    waited = engine.only_effect(fx.SendToTarget)
    assert waited.query_id == 3
    engine.query(4, record_key='k', deadline=9)
    engine.apply(ev.TargetAnswered(waited.attempt_id, 1, 'b', b'1'), 3)
    assert not engine.effects_of(fx.SendToTarget)
    assert {reply.query_id for reply in engine.effects_of(fx.ReplyRefusal)} == {
        4
    }


def test_warm_target_is_reported_once(build) -> None:
    """Guards against a target that became warm without a report to peers."""
    engine = build()
    engine.state.warmup.state_by_target.clear()
    leases = {f'{shard}-0': 99.0 for shard in 'ab'}
    engine.apply(ev.LeasesChanged(leases))
    reports = []
    for second in range(8):
        engine.query(second, now=second, record_key='k')
        send = engine.only_effect(fx.SendToTarget)
        answer = ev.TargetAnswered(send.attempt_id, 1, 'b9', b'1')
        engine.apply(answer, second)
        reports += engine.effects_of(fx.ReportWarm)
    assert [report.boot_id for report in reports] == ['b9']


def test_answer_after_lost_connections_makes_target_warm(build) -> None:
    """Guards against a target that stays cold after its connections closed.

    An answer to an earlier request must not make it warm, because the target
    may have restarted since; an answer to a later request must.
    """
    engine = build()
    engine.query(1, record_key='k')
    late = engine.only_effect(fx.SendToTarget)
    target = late.target
    for copy in range(3):
        lost = ev.TargetConnectionsLost(f'{target[0]}-{copy}')
        engine.apply(lost, 1)
    engine.apply(ev.TargetAnswered(late.attempt_id, 1, 'b', b'1'), 1)
    assert not engine.state.warmup.is_warm(target)
    engine.apply(ev.LeasesChanged({target: 9.0}), 1)
    engine.query(2, now=2, record_key='k')
    send = engine.only_effect(fx.SendToTarget)
    engine.apply(ev.TargetAnswered(send.attempt_id, 1, 'b', b'1'), 2)
    assert engine.only_effect(fx.ReportWarm).boot_id == 'b'
    assert engine.state.warmup.is_warm(target)


def test_first_request_on_a_new_connection_goes_alone(build) -> None:
    """Guards against many requests to a target that may have restarted.

    A restart goes unnoticed while this VM has no connection to the target.
    """
    engine = build()
    for name in ('a-0', 'a-1', 'a-2', 'b-0', 'b-1', 'b-2'):
        engine.apply(ev.TargetConnectionsClosed(name))
    sends = []
    for query_id in range(8):
        engine.query(query_id, record_key='k')
        sends += engine.effects_of(fx.SendToTarget)
    assert len({send.target for send in sends}) == len(sends) == 3
    first = sends[0].attempt_id
    engine.apply(ev.TargetAnswered(first, 1, 'b', b'1'), 0.1)
    assert len(engine.effects_of(fx.SendToTarget)) == 4


def test_leases_are_for_cold_targets_of_the_own_domain(build) -> None:
    """Guards against leases for targets that this VM would not use.

    These are warm, withdrawn or draining targets and targets in other failure
    domains.
    """
    engine = build()
    assert not cold_targets_to_lease(engine.state, 0)
    engine.apply(ev.TargetConnectionsLost('a-0'))
    engine.apply(ev.TargetConnectionsLost('a-1'))
    assert cold_targets_to_lease(engine.state, 0) == {'a-0'}
    engine.apply(ev.ControlChanged(frozenset(), frozenset(('a-0',))))
    assert not cold_targets_to_lease(engine.state, 0)
    engine.apply(ev.ControlChanged(frozenset(('domain-0',)), frozenset()))
    assert not cold_targets_to_lease(engine.state, 0)
