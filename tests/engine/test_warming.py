"""Tests of cold targets in the reducer (G3)."""

from nutmegstep.engine import effects as fx
from nutmegstep.engine import events as ev


def test_cold_target_gets_only_what_a_promise_allows(build) -> None:
    """Guards against sends without a promise, beyond it, or too long ones."""
    engine = build()
    engine.state.warmup.by_target.clear()
    engine.query(1, record_key='k', deadline=9)
    assert engine.sole(fx.ReplyRefusal)
    held = {f'{shard}-0': 3.0 for shard in 'ab'}
    engine.apply(ev.AllowanceChanged(held))
    engine.query(2, record_key='k', deadline=9)
    send = engine.sole(fx.SendToTarget)
    assert (send.target[-1], send.deadline) == ('0', 2)
    engine.query(3, record_key='k', deadline=9)
    assert not engine.of(fx.SendToTarget)
    engine.apply(ev.TargetAnswered(send.attempt_id, 1, 'b', b'1'), 1)
    waited = engine.sole(fx.SendToTarget)
    assert waited.query_id == 3
    engine.query(4, record_key='k', deadline=9)
    engine.apply(ev.TargetAnswered(waited.attempt_id, 1, 'b', b'1'), 3)
    assert not engine.of(fx.SendToTarget)
    assert {reply.query_id for reply in engine.of(fx.ReplyRefusal)} == {4}


def test_warm_target_is_reported_once(build) -> None:
    """Guards against other VMs that never learn about a warm target."""
    engine = build()
    engine.state.warmup.by_target.clear()
    held = {f'{shard}-0': 99.0 for shard in 'ab'}
    engine.apply(ev.AllowanceChanged(held))
    reports = []
    for second in range(8):
        engine.query(second, now=second, record_key='k')
        send = engine.sole(fx.SendToTarget)
        answer = ev.TargetAnswered(send.attempt_id, 1, 'b9', b'1')
        engine.apply(answer, second)
        reports += engine.of(fx.ReportWarm)
    assert [report.boot_id for report in reports] == ['b9']
