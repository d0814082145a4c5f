"""Tests of when reports of several VMs make a target suspected."""

from itertools import cycle

import pytest

from nutmegstep.dispatch.suspicion import (
    Suspicion,
    is_worth_reporting,
    trial_probability,
)

_RATE = 20.0
"""Requests per second of a failure domain to the service."""


def _report(
    suspicion: Suspicion,
    instants: list[float],
    reporters: str = 'ab',
) -> bool:
    """Record reports; return whether one of them starts the suspicion."""
    turns = zip(instants, cycle(reporters), strict=False)
    return any([suspicion.record_report(at, _RATE, by) for at, by in turns])


def test_reports_of_two_vms_start_a_suspicion() -> None:
    """Guards against VMs that each have to wait for the same slow target."""
    suspicion = Suspicion()
    assert _report(suspicion, [10.0, 10.1])
    assert suspicion.is_active(10.2)


def test_reports_of_one_vm_start_no_suspicion() -> None:
    """Guards against suspecting healthy targets because of a slow VM.

    A VM with a slow network link or processor sees late replies everywhere.
    """
    suspicion = Suspicion()
    assert not _report(suspicion, [10.0, 10.1, 10.2, 10.3], reporters='a')


def test_scattered_reports_start_no_suspicion() -> None:
    """Guards against suspecting a target for a usual share of late replies."""
    suspicion = Suspicion()
    assert not _report(suspicion, [10 + number * 1.2 for number in range(20)])


def test_domain_with_many_requests_needs_more_reports() -> None:
    """Guards against suspicion because of two late replies among hundreds."""
    suspicion = Suspicion()
    turns = zip((10, 10.1, 10.2), 'aba', strict=True)
    assert not any([suspicion.record_report(at, 200, by) for at, by in turns])


def test_suspicion_ends_without_reports() -> None:
    """Guards against a target that stays suspected for ever."""
    suspicion = Suspicion()
    _report(suspicion, [10.0, 10.1])
    assert not suspicion.is_active(15.2)


def test_report_extends_a_suspicion() -> None:
    """Guards against a suspicion that ends while the target is still slow.

    It also guards against repeated messages about a target that the
    neighbours suspect already.
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
    """Guards against too many and against no requests to a suspected target."""
    assert trial_probability(interval, vms) == pytest.approx(expected)


@pytest.mark.parametrize(('interval', 'expected'), [(0.08, False), (1.2, True)])
def test_vm_with_many_requests_does_not_report(
    interval: float, expected: bool
) -> None:
    """Guards against a number of reports that grows with the load."""
    assert is_worth_reporting(interval) == expected
