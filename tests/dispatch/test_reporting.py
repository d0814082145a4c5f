"""Tests of reports about slow targets and of their effect on the selection."""

from nutmegstep.dispatch.control_events import TargetsSuspected
from nutmegstep.dispatch.effects import Decision, ReportSuspect, SendRequest
from nutmegstep.dispatch.events import SendFailed, SendFailureKind
from tests.dispatch.conftest import Dispatcher


def _suspect(dispatcher: Dispatcher, target_id: str) -> None:
    for reporter in ('10.0.0.2', '10.0.0.3'):
        dispatcher.now += 0.05
        dispatcher.apply(TargetsSuspected((target_id,), reporter))


def test_target_that_is_too_slow_is_reported(dispatcher: Dispatcher) -> None:
    """Guards against neighbours that each wait for the same slow target.

    Neighbours are the VMs of one failure domain.
    """
    dispatcher.request()
    sends = dispatcher.effects_of(SendRequest)
    dispatcher.now += 0.02
    dispatcher.answer(sends[:9])
    dispatcher.now += 0.18
    dispatcher.answer(sends[9:])
    expected = [ReportSuspect(sends[9].target.target_id)]
    assert dispatcher.effects_of(ReportSuspect) == expected


def test_paused_target_is_not_reported(dispatcher: Dispatcher) -> None:
    """Guards against reporting a healthy target, which can pause for 150 ms."""
    dispatcher.request()
    dispatcher.now += 0.17
    dispatcher.answer(dispatcher.effects_of(SendRequest))
    assert not dispatcher.effects_of(ReportSuspect)


def test_work_that_is_usual_for_a_route_is_not_reported(
    dispatcher: Dispatcher,
) -> None:
    """Guards against reporting all targets of a service that is always slow.

    The latency of 300 ms is usual there, as the median of the route shows.
    """
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
    """Guards against neighbours that each send to a target that has crashed."""
    dispatcher.request('/fetch/1')
    send = dispatcher.effects_of(SendRequest)[0]
    dispatcher.apply(SendFailed(send.send_id, SendFailureKind.CONNECT))
    expected = ReportSuspect(send.target.target_id)
    assert dispatcher.effects_of(ReportSuspect) == [expected]


def test_vm_with_many_requests_does_not_report(dispatcher: Dispatcher) -> None:
    """Guards against a number of reports that grows with the load.

    A VM with many requests sends none, as its neighbours have many too and
    recognise a slow target by themselves.
    """
    for _ in range(60):
        dispatcher.now += 0.05
        dispatcher.request()
    assert dispatcher.state.request_interval_of('shard-0') < 0.1
    dispatcher.effects.clear()
    dispatcher.request()
    dispatcher.now += 0.3
    dispatcher.answer(dispatcher.effects_of(SendRequest))
    assert not dispatcher.effects_of(ReportSuspect)


def test_target_that_neighbours_report_is_avoided(
    dispatcher: Dispatcher,
) -> None:
    """Guards against waiting for a slow target that neighbours have reported.

    This VM has not sent a request to the target itself.
    """
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


def test_suspected_target_is_used_without_an_alternative(
    dispatcher: Dispatcher,
) -> None:
    """Guards against refusing requests because all targets are suspected."""
    for domain in ('north', 'south', 'west'):
        _suspect(dispatcher, f'orders-{domain}')
    dispatcher.request('/fetch/1')
    assert len(dispatcher.effects_of(SendRequest)) == 1


def test_report_about_an_unknown_target_is_ignored(
    dispatcher: Dispatcher,
) -> None:
    """Guards against state that grows without bound with reported names."""
    assert not dispatcher.apply(TargetsSuspected(('i-unknown',), '10.0.0.2'))
    assert 'i-unknown' not in dispatcher.state.health_by_target


def test_request_interval_follows_the_first_requests(
    dispatcher: Dispatcher,
) -> None:
    """Guards against unneeded reports in the first seconds of a small fleet.

    The initial value of the mean request interval is that of a VM with few
    requests; the first samples must replace it.
    """
    for _ in range(3):
        dispatcher.request()
        dispatcher.now += 0.05
    assert dispatcher.state.request_interval_of('shard-0') < 0.2
