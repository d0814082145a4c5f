"""Reports to neighbours, and the preference that follows from theirs."""

from nutmegstep.dispatch.effects import Decision, ReportSuspect, SendRequest
from nutmegstep.dispatch.events import (
    SendFailed,
    SendFailureKind,
    TargetsSuspected,
)
from tests.dispatch.conftest import Dispatcher


def _suspect(dispatcher: Dispatcher, target_id: str) -> None:
    for reporter in ('10.0.0.2', '10.0.0.3'):
        dispatcher.now += 0.05
        dispatcher.apply(TargetsSuspected((target_id,), reporter))


def test_target_that_is_too_slow_is_reported(dispatcher: Dispatcher) -> None:
    """Guards against neighbours that wait for the same target."""
    dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.now += 0.02
    dispatcher.answer(sends[:9])
    dispatcher.now += 0.18
    dispatcher.answer(sends[9:])
    expected = [ReportSuspect(sends[9].target.target_id)]
    assert dispatcher.effects_of(ReportSuspect) == expected


def test_paused_target_is_not_reported(dispatcher: Dispatcher) -> None:
    """Guards against leaving a healthy target, which pauses for 150 ms."""
    dispatcher.request()
    dispatcher.now += 0.17
    dispatcher.answer(dispatcher.effects_of(SendRequest))
    assert not dispatcher.effects_of(ReportSuspect)


def test_work_that_is_usual_for_a_route_is_not_reported(
    dispatcher: Dispatcher,
) -> None:
    """Guards against targets of a slow service that all seem to be in trouble."""
    for _ in range(60):
        dispatcher.request('/fetch/1')
        dispatcher.now += 0.3
        dispatcher.answer(dispatcher.effects_of(SendRequest)[-1:])
    dispatcher.effects.clear()
    dispatcher.request('/fetch/1')
    dispatcher.now += 0.3
    dispatcher.answer(dispatcher.effects_of(SendRequest)[-1:])
    assert not dispatcher.effects_of(ReportSuspect)


def test_target_that_refuses_connections_is_reported(
    dispatcher: Dispatcher,
) -> None:
    """Guards against neighbours that find a crashed target one by one."""
    dispatcher.request('/fetch/1')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.CONNECT))
    expected = ReportSuspect(send.target.target_id)
    assert dispatcher.effects_of(ReportSuspect) == [expected]


def test_busy_vm_keeps_its_reports(dispatcher: Dispatcher) -> None:
    """Guards against messages that grow with the load."""
    for _ in range(60):
        dispatcher.now += 0.05
        dispatcher.request()
    assert dispatcher.state.request_interval_of('shard-0') < 0.1
    dispatcher.effects.clear()
    dispatcher.request()
    dispatcher.now += 0.3
    dispatcher.answer(dispatcher.effects_of(SendRequest))
    assert not dispatcher.effects_of(ReportSuspect)


def test_neighbours_reports_make_others_preferred(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a first query that waits for a known slow target."""
    _suspect(dispatcher, 'orders-north')
    dispatcher.state.vms_in_domain = 1000
    for _ in range(5):
        dispatcher.request('/fetch/1')
    targets = {
        send.target.target_id for send in dispatcher.effects_of(SendRequest)
    }
    assert 'orders-north' not in targets
    names = [decision.name for decision in dispatcher.effects_of(Decision)]
    assert names.count('target_suspected') == 1


def test_suspected_target_is_used_when_it_is_the_last(
    dispatcher: Dispatcher,
) -> None:
    """Guards against refusals because of what neighbours say."""
    for domain in ('north', 'south', 'west'):
        _suspect(dispatcher, f'orders-{domain}')
    dispatcher.request('/fetch/1')
    assert len(dispatcher.effects_of(SendRequest)) == 1


def test_report_about_an_unknown_target_is_passed_over(
    dispatcher: Dispatcher,
) -> None:
    """Guards against state that neighbours can fill without bound."""
    assert not dispatcher.apply(TargetsSuspected(('i-unknown',), '10.0.0.2'))
    assert 'i-unknown' not in dispatcher.state.health_by_target


def test_busy_vm_knows_so_after_its_first_requests(
    dispatcher: Dispatcher,
) -> None:
    """Guards against reports of a small fleet in its first seconds."""
    for _ in range(3):
        dispatcher.request()
        dispatcher.now += 0.05
    assert dispatcher.state.request_interval_of('shard-0') < 0.2
