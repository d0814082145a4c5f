"""When a VM has lost contact with all targets, and when it has it again."""

import pytest

from nutmegstep.dispatch.control_events import HousekeepingDue, TargetChecked
from nutmegstep.dispatch.effects import CheckTarget, Decision, SendRequest
from nutmegstep.dispatch.events import SendFailed, SendFailureKind
from tests.dispatch.conftest import Dispatcher


def _fail(dispatcher: Dispatcher, *, spared: str = '') -> None:
    """Let sends fail, except those to a spared failure domain."""
    failed = 0
    while failed < len(dispatcher.effects_of(SendRequest)):
        for send in dispatcher.effects_of(SendRequest)[failed:]:
            failed += 1
            if send.target.failure_domain == spared:
                dispatcher.answer([send])
            else:
                kind = SendFailureKind.CONNECT
                dispatcher.apply(SendFailed(send.send_id, kind))


def _lose_all(dispatcher: Dispatcher) -> None:
    dispatcher.request()
    _fail(dispatcher)
    dispatcher.now += 0.5
    dispatcher.apply(HousekeepingDue())


def test_contact_is_lost_when_no_target_accepts(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a VM that goes on trying dead links for each request."""
    assert not dispatcher.state.has_lost_targets
    dispatcher.request()
    _fail(dispatcher)
    tested = dispatcher.effects_of(CheckTarget)
    assert {one.target.failure_domain for one in tested} == {
        'north',
        'south',
        'west',
    }
    assert not dispatcher.state.has_lost_targets
    dispatcher.now += 0.5
    dispatcher.apply(HousekeepingDue())
    assert dispatcher.state.has_lost_targets
    dispatcher.now += 30
    dispatcher.apply(HousekeepingDue())
    assert dispatcher.state.has_lost_targets


@pytest.mark.parametrize('spared', ['north', 'south'])
def test_contact_is_kept_with_one_domain(
    dispatcher: Dispatcher, spared: str
) -> None:
    """Guards against giving up the own links in a partition between failure
    domains, in which one of them is still reached.
    """
    for _ in range(10):
        dispatcher.request()
        _fail(dispatcher, spared=spared)
        for check in dispatcher.effects_of(CheckTarget):
            if check.target.failure_domain == spared:
                checked = TargetChecked(check.target.target_id, True)
                dispatcher.apply(checked)
        dispatcher.now += 0.5
        dispatcher.apply(HousekeepingDue())
        assert not dispatcher.state.has_lost_targets


def test_links_are_tested_until_a_target_accepts(
    dispatcher: Dispatcher,
) -> None:
    """Guards against a VM that never uses its links again once they are back,
    as no request would tell it.
    """
    _lose_all(dispatcher)
    dispatcher.effects.clear()
    dispatcher.now += 0.5
    dispatcher.apply(HousekeepingDue())
    tested = dispatcher.effects_of(CheckTarget)
    assert 0 < len(tested) < 4
    target_id = tested[0].target.target_id
    dispatcher.apply(TargetChecked(target_id, is_listening=False))
    assert dispatcher.state.has_lost_targets
    dispatcher.apply(TargetChecked(target_id, is_listening=True))
    assert not dispatcher.state.has_lost_targets
    dispatcher.effects.clear()
    dispatcher.apply(HousekeepingDue())
    assert not dispatcher.effects_of(CheckTarget)


def test_losses_that_are_checked_again_are_logged(
    dispatcher: Dispatcher,
) -> None:
    """Guards against evidence of a crash that is set back without a trace."""
    dispatcher.request()
    for send in dispatcher.effects_of(SendRequest):
        kind = SendFailureKind.NO_RESPONSE
        dispatcher.apply(SendFailed(send.send_id, kind))
    dispatcher.now += 0.5
    dispatcher.apply(HousekeepingDue())
    assert dispatcher.state.has_lost_targets
    dispatcher.apply(TargetChecked('orders-north', is_listening=True))
    evaluations = {
        one.inputs['evaluation']
        for one in dispatcher.effects_of(Decision)
        if one.name == 'loss_evaluated'
    }
    assert evaluations == {'rechecked'}
