"""Probes of restricted content, and outages that end their targets."""

from collections.abc import Collection
from dataclasses import replace
from types import MappingProxyType

import pytest

from nutmegstep.dispatch.content import content_digest
from nutmegstep.dispatch.control_events import (
    CrashRecord,
    CrashStored,
    TargetAnnounced,
    TargetChecked,
    TargetRemoved,
)
from nutmegstep.dispatch.crashes import KEEP_SECONDS
from nutmegstep.dispatch.effects import (
    CheckTarget,
    DeleteCrash,
    DeliverRefusal,
    PublishCrash,
    SendRequest,
)
from nutmegstep.dispatch.events import RequestDue, SendFailed, SendFailureKind
from tests.dispatch.conftest import Dispatcher, records
from tests.dispatch.crashing import count_sends, settle
from tests.dispatch.probed_fleet import ProbedFleet

_TOLERATED_RETRIES = 3
_PROBED_PER_SECOND = 20
_CRASHING_PER_SECOND = 10
_SECONDS_BY_OUTAGES = MappingProxyType({1: 40, 2: 110})
"""Time after which a probe has run that no outage has ended."""
_PATH = '/fetch/x'
_TURN_INTERVAL = 4.0
_PAUSE_AFTER_CRASH = 16.0
_DECIDED_SETTLES = 3
"""Half seconds from the crash of a probe in which its cause is decided."""
_ORDERS = frozenset(name for name in records() if name.startswith('orders'))


@pytest.mark.parametrize('outages', [1, 2])
@pytest.mark.parametrize('crash_seconds', [0, 0.5])
@pytest.mark.parametrize(
    'path', ['/fetch/latest', '/order/latest', '/sweep/latest']
)
@pytest.mark.parametrize('vms', [2, 7])
def test_outage_that_ends_a_probe_refuses_nobody_for_long(
    vms: int, path: str, crash_seconds: float, outages: int
) -> None:
    """Guards against refusing a frequent harmless request for half an hour, as a
    further outage of its service has ended the target of its probe.
    """
    services = ('shard-1', 'shard-2') if 'sweep' in path else ('orders',)

    def end_services(probes: int) -> None:
        if probes <= outages:
            fleet.end_services(crash_seconds, *services)

    fleet = ProbedFleet(
        vms,
        '/order/x',
        0.02,
        other_paths=(path, '/sweep/other', '/order/other'),
        run_seconds=0.72,
        on_probe=end_services,
    )
    fleet.restrict(path, services[0])
    fleet.run(_SECONDS_BY_OUTAGES[outages], 0, _PROBED_PER_SECOND)
    assert len(fleet.probed_at) > outages
    assert not fleet.is_any_suspected()
    refused = len(fleet.refused_paths)
    fleet.run(5, 0, _PROBED_PER_SECOND)
    assert len(fleet.refused_paths) == refused


@pytest.mark.parametrize('path', ['/fetch/x', '/order/x'])
@pytest.mark.parametrize('vms', [1, 2, 7])
def test_outages_do_not_let_a_crashing_request_through(
    vms: int, path: str
) -> None:
    """Guards against a request that goes on crashing targets, as each of its probes
    coincides with an outage.
    """
    fleet = ProbedFleet(
        vms, path, 0.02, on_probe=lambda _: fleet.end_services(0, 'orders')
    )
    fleet.run(60, _CRASHING_PER_SECOND, 20)
    assert len(fleet.probed_at) > 1
    assert fleet.counted_retries() <= _TOLERATED_RETRIES


def _restrict(dispatcher: Dispatcher) -> None:
    """Let the content of the request be restricted."""
    content = content_digest(dispatcher.request(_PATH))
    dispatcher.answer(dispatcher.effects_of(SendRequest))
    for number in range(3):
        record = CrashRecord(content, f'i-{number}', number + 1, 'orders')
        dispatcher.apply(CrashStored(record))


def _probe(dispatcher: Dispatcher) -> SendRequest:
    """Ask until the VM sends a probe; return its first send."""
    dispatcher.effects.clear()
    ends = dispatcher.now + _TURN_INTERVAL * 20
    while not count_sends(dispatcher):
        assert dispatcher.now < ends
        dispatcher.now += 0.1
        dispatcher.request(_PATH)
    assert count_sends(dispatcher) == 1
    return dispatcher.effects_of(SendRequest)[0]


def _check(dispatcher: Dispatcher, refusing: Collection[str] = ()) -> None:
    """Let the checked targets accept connections, or refuse them."""
    checked = dispatcher.effects_of(CheckTarget)
    dispatcher.effects = [
        one for one in dispatcher.effects if not isinstance(one, CheckTarget)
    ]
    for target_id in dict.fromkeys(one.target.target_id for one in checked):
        is_listening = target_id not in refusing
        dispatcher.apply(TargetChecked(target_id, is_listening))


def _crash(dispatcher: Dispatcher, probe: SendRequest, *refusing: str) -> None:
    """Let the target of a probe crash, and others with it."""
    dispatcher.apply(SendFailed(probe.send_id, SendFailureKind.NO_RESPONSE))
    for _ in range(_DECIDED_SETTLES):
        _check(dispatcher, {probe.target.target_id, *refusing})
        settle(dispatcher)


def _retry_after(dispatcher: Dispatcher) -> float:
    """Return the seconds after which a caller of the request may return."""
    sent = count_sends(dispatcher)
    dispatcher.request(_PATH)
    assert count_sends(dispatcher) == sent
    refusal = dispatcher.effects_of(DeliverRefusal)[-1].refusal
    return refusal.retry_after.total_seconds()


def test_probe_that_an_outage_ends_is_followed_by_another(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a harmless request that is refused for half an hour, as its
    service falls over twice.
    """
    _restrict(dispatcher)
    probe = _probe(dispatcher)
    _check(dispatcher)
    _crash(dispatcher, probe, *_ORDERS)
    crashed_at = dispatcher.now
    assert _retry_after(dispatcher) < 2 * _PAUSE_AFTER_CRASH
    published = [one.record for one in dispatcher.effects_of(PublishCrash)]
    assert [one.is_probe for one in published] == [True]
    later = _probe(dispatcher)
    assert dispatcher.now > crashed_at + _PAUSE_AFTER_CRASH - _TURN_INTERVAL
    dispatcher.answer([later])
    assert len(dispatcher.effects_of(DeleteCrash)) == 4
    sent = count_sends(dispatcher)
    dispatcher.request(_PATH)
    assert count_sends(dispatcher) == sent + 1


def test_outage_of_a_failure_domain_explains_the_crash_of_a_probe(
    dispatcher: Dispatcher,
) -> None:
    """Guards against refusing a harmless request whose probe has lost its target
    in a power cut, which leaves other targets of its service.
    """
    _restrict(dispatcher)
    probe = _probe(dispatcher)
    _check(dispatcher)
    domain = probe.target.failure_domain
    _crash(
        dispatcher,
        probe,
        *(name for name in records() if name.endswith(domain)),
    )
    assert _retry_after(dispatcher) < 2 * _PAUSE_AFTER_CRASH


def test_outage_that_goes_on_explains_the_crash_of_a_probe(
    dispatcher: Dispatcher,
) -> None:
    """Guards against refusing a harmless request whose probe has lost the only
    target of a service that was back.
    """
    _restrict(dispatcher)
    probe = _probe(dispatcher)
    _check(dispatcher, _ORDERS - {probe.target.target_id})
    _crash(dispatcher, probe, *_ORDERS)
    assert _retry_after(dispatcher) < 2 * _PAUSE_AFTER_CRASH


def test_targets_that_are_announced_late_show_an_outage(
    dispatcher: Dispatcher,
) -> None:
    """Guards against refusing a harmless request whose service falls over twice
    within the time in which a VM learns that its targets are back.
    """
    _restrict(dispatcher)
    for target_id in _ORDERS:
        dispatcher.apply(TargetRemoved(target_id))
    returned = [
        replace(one, target_id=f'{name}-back', started_ms=2)
        for name, one in records().items()
        if name in _ORDERS
    ]
    dispatcher.apply(TargetAnnounced(returned[0]))
    probe = _probe(dispatcher)
    _check(dispatcher)
    for late in returned[1:]:
        dispatcher.apply(TargetAnnounced(late))
    _crash(dispatcher, probe, *(one.target_id for one in returned))
    assert _retry_after(dispatcher) < 2 * _PAUSE_AFTER_CRASH


def test_crash_of_one_other_target_explains_nothing(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a request that goes on crashing targets, as others end for
    their own reasons now and then.
    """
    _restrict(dispatcher)
    probe = _probe(dispatcher)
    _check(dispatcher)
    other = min(_ORDERS - {probe.target.target_id})
    _crash(dispatcher, probe, other)
    assert _retry_after(dispatcher) == KEEP_SECONDS


def test_end_of_targets_that_leave_explains_nothing(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a request that goes on crashing targets while others of its
    service are replaced.
    """
    _restrict(dispatcher)
    for target_id in _ORDERS:
        leaving = replace(records()[target_id], is_draining=True)
        dispatcher.apply(TargetAnnounced(leaving))
    lone = replace(
        records()['orders-north'], target_id='orders-new', started_ms=2
    )
    dispatcher.apply(TargetAnnounced(lone))
    probe = _probe(dispatcher)
    _check(dispatcher)
    _crash(dispatcher, probe, *_ORDERS)
    assert _retry_after(dispatcher) == KEEP_SECONDS


def test_probe_is_not_sent_again_after_a_crash(dispatcher: Dispatcher) -> None:
    """Guards against a probe that ends further targets, as it is repeated while
    the crash of the first one, or its cause, is not known.
    """
    _restrict(dispatcher)
    probe = _probe(dispatcher)
    _check(dispatcher)
    dispatcher.now += 0.1
    dispatcher.apply(SendFailed(probe.send_id, SendFailureKind.NO_RESPONSE))
    dispatcher.apply(TargetChecked(probe.target.target_id, is_listening=False))
    for _ in range(50):
        dispatcher.now += 0.01
        dispatcher.apply(RequestDue(probe.request.request_id))
    assert count_sends(dispatcher) == 1
    for _ in range(_DECIDED_SETTLES):
        _check(dispatcher, _ORDERS)
        settle(dispatcher)
    assert count_sends(dispatcher) == 1
