"""When reports of several VMs make a target suspected."""

from itertools import cycle

import pytest

from nutmegstep.dispatch.suspicion import (
    Suspicion,
    is_worth_reporting,
    trial_probability,
)

_RATE = 20.0
"""Requests per second of a failure domain to one target."""


def _report(
    suspicion: Suspicion,
    instants: list[float],
    reporters: str = 'ab',
) -> bool:
    """Play reports; return whether one of them starts the suspicion."""
    turns = zip(instants, cycle(reporters), strict=False)
    return any([suspicion.record_report(at, _RATE, by) for at, by in turns])


def test_reports_of_two_vms_start_a_suspicion() -> None:
    """Guards against each VM meeting a slow target for itself."""
    suspicion = Suspicion()
    assert _report(suspicion, [10.0, 10.1])
    assert suspicion.is_active(10.2)


def test_one_vm_starts_nothing() -> None:
    """Guards against a VM whose own link or processor is slow."""
    suspicion = Suspicion()
    assert not _report(suspicion, [10.0, 10.1, 10.2, 10.3], reporters='a')


def test_scattered_reports_start_nothing() -> None:
    """Guards against suspicion of targets with a usual share of late replies."""
    suspicion = Suspicion()
    assert not _report(suspicion, [10 + number * 1.2 for number in range(20)])


def test_busy_domain_needs_more_reports() -> None:
    """Guards against two late replies among hundreds that count as trouble."""
    suspicion = Suspicion()
    turns = zip((10, 10.1, 10.2), 'aba', strict=True)
    assert not any([suspicion.record_report(at, 200, by) for at, by in turns])


def test_suspicion_lapses_without_reports() -> None:
    """Guards against a target that is never used again."""
    suspicion = Suspicion()
    _report(suspicion, [10.0, 10.1])
    assert not suspicion.is_active(15.2)


def test_report_extends_a_suspicion() -> None:
    """Guards against a slow target that all VMs return to, and against
    messages about what the neighbours know.
    """
    suspicion = Suspicion()
    _report(suspicion, [10.0, 10.1])
    assert not suspicion.was_recently_reported(11)
    assert not suspicion.record_report(12, _RATE, 'a')
    assert suspicion.was_recently_reported(12.1)
    assert suspicion.is_active(16.9)


@pytest.mark.parametrize(
    ('interval', 'vms', 'expected'),
    [(1.2, 22, 1.2 / 44), (10, 2, 1), (0.1, 350, 0.1 / 700)],
)
def test_domain_tries_a_suspected_target_every_two_seconds(
    interval: float,
    vms: int,
    expected: float,
) -> None:
    """Guards against all VMs trying it at once, and against none."""
    assert trial_probability(interval, vms) == pytest.approx(expected)


@pytest.mark.parametrize(('interval', 'expected'), [(0.08, False), (1.2, True)])
def test_busy_vm_reports_nothing(interval: float, expected: bool) -> None:
    """Guards against messages that grow with the load."""
    assert is_worth_reporting(interval) == expected
