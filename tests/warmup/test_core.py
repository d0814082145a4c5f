"""Tests of the detection of cold targets and of the ramp (guarantee G3)."""

from dataclasses import replace
from datetime import timedelta

from nutmegstep.model import Target
from nutmegstep.warmup import Warmup

TARGET = Target('a', '::1', 1, 'domain-1', 4, 1, 80)


def _warm(answers: int = 40) -> Warmup:
    warmup = Warmup()
    warmup.record_warm_report('a', 'b1', now=0)
    for _ in range(answers):
        warmup.record_answer(TARGET, 'b1', 0.01, now=0)
    assert warmup.is_warm('a')
    return warmup


def test_another_boot_id_is_cold_and_stale_reports_are_ignored() -> None:
    """Guards against full load on a target that has restarted.

    An answer shows another boot identifier; a late report about the earlier
    one must not mark the target as warm.
    """
    warmup = _warm()
    warmup.record_answer(TARGET, 'b2', 0.01, now=0)
    assert not warmup.is_warm('a')
    warmup.record_warm_report('a', 'b1', now=0)
    assert not warmup.is_warm('a')
    warmup.record_warm_report('a', 'b3', now=0)
    assert warmup.is_warm('a')


def test_five_bad_outcomes_of_eight_suspend_a_target() -> None:
    """Guards against full load on a target that has become slow.

    The target did not restart. Four slow answers alone must not suspend it; a
    refused request is the fifth bad outcome.
    """
    warmup = _warm()
    for _ in range(4):
        warmup.record_answer(TARGET, 'b1', 0.1, now=0)
    assert warmup.is_warm('a')
    warmup.record_shed(TARGET, 'b1', 0)
    assert not warmup.is_warm('a')


def test_ramp_doubles_per_step_and_restarts_after_its_lease() -> None:
    """Guards against overload of a cold target.

    The ramp must not rise faster than once per step, and must start again
    when the lease has expired, as another VM may have sent meanwhile.
    """
    warmup = Warmup()
    warmup.set_leases({'a': 100}, now=0)
    allowed = []
    for tenth in range(35):
        reported = warmup.record_answer(TARGET, 'b1', 0.01, now=tenth / 10)
        allowed.append(
            sum(
                warmup.may_send(TARGET, in_flight, tenth / 10)
                for in_flight in range(9)
            ),
        )
        if reported:
            break
    assert allowed[:30:5] == [1, 1, 2, 2, 4, 4]
    assert allowed[9:30:10] == [1, 2, 4]
    assert reported
    assert tenth == 30
    expired = Warmup()
    expired.set_leases({'a': 1.5}, now=0)
    for second in (0, 1):
        expired.record_answer(TARGET, 'b1', 0.01, now=second)
    assert expired.may_send(TARGET, 1, now=1)
    assert not expired.may_send(TARGET, 0, now=1.5)
    expired.set_leases({'a': 5}, now=2)
    assert not expired.may_send(TARGET, 1, now=2)


def test_suspended_target_is_tried_again_alone() -> None:
    """Guards against a target that a VM without its lease never uses again.

    If the other VMs still find the target warm, none of them reports it.
    """
    warmup = Warmup()
    warmup.record_warm_report('a', 'b1', 0)
    for _ in range(8):
        warmup.record_shed(TARGET, 'b1', 5)
    assert not warmup.is_warm_or_leased('a', 14.9)
    assert warmup.is_warm_or_leased('a', 15)
    assert warmup.may_send(TARGET, 0, 15)
    assert not warmup.may_send(TARGET, 1, 15)


def test_shedding_target_with_a_long_ramp_stays_suspended() -> None:
    """Guards against a target that is used again before another VM can have
    completed its ramp.
    """
    slow = replace(TARGET, ramp_step=timedelta(seconds=30))
    warmup = Warmup()
    warmup.record_warm_report('a', 'b1', 0)
    for _ in range(8):
        warmup.record_shed(slow, 'b1', 0)
    assert not warmup.is_warm_or_leased('a', 60)


def test_unconfirmed_target_is_tried_again_alone() -> None:
    """Guards against a target that is never used again after a disconnect.

    Only this VM lost its connections, so no other VM reports the target.
    """
    warmup = Warmup()
    warmup.record_warm_report('a', 'b1', 0)
    warmup.mark_unconfirmed('a', 5, retry_after=60)
    assert not warmup.is_warm_or_leased('a', 64.9)
    assert warmup.is_warm_or_leased('a', 65)
    assert not warmup.may_send(TARGET, 1, 65)
