"""Tests of cold targets in the reducer (G3)."""

from nutmegstep.engine import cold_targets_to_lease
from nutmegstep.engine import effects as fx
from nutmegstep.engine import events as ev


def test_cold_target_gets_only_what_a_promise_allows(build) -> None:
    """Guards against sends without a promise, beyond it, or too long ones."""
    engine = build()
    engine.state.warmup.state_by_target.clear()
    engine.query(1, record_key='k', deadline=9)
    assert 'cold' in engine.only_effect(fx.ReplyRefusal).refusal.detail
    held = {f'{shard}-0': 3.0 for shard in 'ab'}
    engine.apply(ev.LeasesChanged(held))
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
    """Guards against other VMs that never learn about a warm target."""
    engine = build()
    engine.state.warmup.state_by_target.clear()
    held = {f'{shard}-0': 99.0 for shard in 'ab'}
    engine.apply(ev.LeasesChanged(held))
    reports = []
    for second in range(8):
        engine.query(second, now=second, record_key='k')
        send = engine.only_effect(fx.SendToTarget)
        answer = ev.TargetAnswered(send.attempt_id, 1, 'b9', b'1')
        engine.apply(answer, second)
        reports += engine.effects_of(fx.ReportWarm)
    assert [report.boot_id for report in reports] == ['b9']


def test_answer_after_a_loss_confirms_and_is_reported(build) -> None:
    """Guards against VMs that never confirm, and against a late answer."""
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


def test_shards_wait_for_the_first_answer_after_idleness(build) -> None:
    """Guards against a burst to a target that may have restarted unseen."""
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


def test_wanted_targets_are_cold_and_in_the_own_domain(build) -> None:
    """Guards against promises for targets that this VM would not use."""
    engine = build()
    assert not cold_targets_to_lease(engine.state, 0)
    engine.apply(ev.TargetConnectionsLost('a-0'))
    engine.apply(ev.TargetConnectionsLost('a-1'))
    assert cold_targets_to_lease(engine.state, 0) == {'a-0'}
    engine.apply(ev.ControlChanged(frozenset(), frozenset(('a-0',))))
    assert not cold_targets_to_lease(engine.state, 0)
    engine.apply(ev.ControlChanged(frozenset(('domain-0',)), frozenset()))
    assert not cold_targets_to_lease(engine.state, 0)
