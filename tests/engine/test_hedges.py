"""Tests of hedges, probes and shards that wait for a slot."""

from nutmegstep.engine import effects as fx
from nutmegstep.engine import events as ev

HEDGE = ev.TimerFired(ev.TimerKey(ev.TimerKind.HEDGE, 1))


def test_hedge_uses_another_replica_and_cancels_the_first(build) -> None:
    """Guards against a hedge to the slow replica and against two replies.

    The hedge is answered first; an answer to the cancelled attempt is ignored.
    """
    engine = build()
    engine.query(record_key='k')
    send = engine.only_effect(fx.SendToTarget)
    engine.apply(HEDGE, 0.1)
    hedge = engine.only_effect(fx.SendToTarget)
    assert hedge.target != send.target
    engine.apply(ev.TargetAnswered(hedge.attempt_id, 1, 'b', b'1'), 0.2)
    assert engine.only_effect(fx.CancelAttempt).attempt_id == send.attempt_id
    assert engine.only_effect(fx.ReplyAnswer).answer.complete
    late = ev.TargetAnswered(send.attempt_id, 1, 'b', b'2')
    assert not engine.apply(late, 0.3)


def test_no_hedge_without_budget_or_free_slot(build) -> None:
    """Guards against hedges beyond the budget of 5% or to full targets."""
    for case in ('budget', 'slots'):
        engine = build()
        engine.query()
        if case == 'budget':
            engine.state.hedges.tokens = 0
        else:
            for stats in engine.state.targets.stats_by_name.values():
                stats.in_flight = stats.max_limit
        engine.apply(HEDGE, 0.1)
        assert not engine.effects_of(fx.SendToTarget)


def test_only_replica_is_retried_on_a_new_connection(build) -> None:
    """Guards against a query that fails because one connection is broken.

    The shard has a single usable replica, and nothing arrives on the
    connection to it until the silence timeout.
    """
    engine = build()
    domains = frozenset(('domain-1', 'domain-2'))
    engine.apply(ev.ControlChanged(domains, frozenset()))
    engine.query(record_key='k')
    send = engine.only_effect(fx.SendToTarget)
    engine.apply(HEDGE, 0.1)
    assert not engine.effects_of(fx.SendToTarget)
    engine.apply(HEDGE, 0.5)
    moved = engine.only_effect(fx.SendToTarget)
    assert (moved.target, moved.fresh_connection) == (send.target, True)


def test_slow_replica_is_probed_at_most_once_in_a_hundred(build) -> None:
    """Guards against too many probes, and probes without a usual request."""
    engine = build()
    stats_by_name = engine.state.targets.stats_by_name
    for number in range(1, 2001):
        stats_by_name['a-0'].latency = 1
        engine.query(number)
        sends = engine.effects_of(fx.SendToTarget)
        probes = [send for send in sends if send.target == 'a-0']
        assert len(sends) == 2 + len(probes)
        engine.apply(ev.CallerDisconnected(number))
    assert 0 < engine.state.last_attempt_id - 4000 <= 40


def test_waiting_shard_gets_a_freed_slot_unless_withdrawn(build) -> None:
    """Guards against an unused free slot and against withdrawn domains (G4).

    A request that waits for a slot is sent when one is free. It is refused
    when all failure domains are withdrawn meanwhile.
    """
    engine = build()
    for stats in engine.state.targets.stats_by_name.values():
        stats.limit = 1
    for number in range(1, 5):
        engine.query(number, record_key='k')
    assert not engine.effects_of(fx.SendToTarget)
    engine.apply(ev.CallerDisconnected(1))
    assert engine.only_effect(fx.SendToTarget).query_id == 4
    engine.query(5, record_key='k')
    every = frozenset(('domain-0', 'domain-1', 'domain-2'))
    engine.apply(ev.ControlChanged(every, frozenset()))
    assert engine.only_effect(fx.ReplyRefusal).query_id == 5
