"""Tests of the pace of a target that has started or recovered."""

import math

import pytest

from nutmegstep.pace import Pace, peers_slowness

_HALF_LIFE = 8.0


def _pace(*ratios: float, peers: float = 1) -> Pace:
    """Return the pace after answers 0.1 s apart."""
    pace = Pace()
    pace.begin('cold', now=10)
    for number, ratio in enumerate(ratios, start=1):
        if pace.observe(ratio, peers, 10 + number / 10):
            pace.end()
    return pace


def _share(pace: Pace) -> float:
    return pace.share(10, _HALF_LIFE)


def test_target_that_did_not_return_gets_all() -> None:
    """Guards against holding back the targets that a new VM has just found."""
    assert not Pace().is_active(10, _HALF_LIFE)


def test_answers_as_fast_as_those_of_peers_raise_the_share() -> None:
    """Guards against a returned target that is left idle."""
    shares = [_share(_pace(*[1] * count)) for count in range(3)]
    assert shares == [0.25, 0.5, 1]


@pytest.mark.parametrize('ratio', [2.5, 8, math.inf])
def test_slower_answers_and_failures_lower_the_share(ratio: float) -> None:
    """Guards against flooding a target that has started, but is still slow."""
    assert _share(_pace(ratio)) == pytest.approx(0.125)


def test_slow_target_goes_on_to_get_requests() -> None:
    """Guards against a target whose recovery nothing shows."""
    assert _share(_pace(*[8.0] * 50)) == pytest.approx(0.05)


def test_one_slow_answer_does_not_stop_the_rise() -> None:
    """Guards against waiting for a target because of one lost packet.

    A lost packet delays an answer by 200 ms, ten times the median.
    """
    assert not _pace(1, 10, 1, 1).is_active(10.5, _HALF_LIFE)


def test_speeds_of_targets_do_not_hold_one_back() -> None:
    """Guards against a target whose speed is 0.8 and which stays held back."""
    assert not _pace(1 / 0.8, 1 / 0.8).is_active(10.3, _HALF_LIFE)


def test_slow_seconds_of_all_peers_do_not_hold_one_back() -> None:
    """Guards against a failure domain whose return waits for its peers.

    They bear its load meanwhile and are slow themselves.
    """
    assert not _pace(3, 3, peers=2.5).is_active(10.3, _HALF_LIFE)


def test_target_that_gets_no_request_gets_its_load_back() -> None:
    """Guards against VMs with few requests that hold a target back for ever."""
    pace = _pace(8.0)
    assert pace.is_active(10 + _HALF_LIFE, _HALF_LIFE)
    assert not pace.is_active(10 + 2 * _HALF_LIFE, _HALF_LIFE)


def test_pace_that_begins_later_does_not_rise_before() -> None:
    """Guards against a share that rises, or falls, during the cold time."""
    pace = Pace()
    pace.begin('cold', now=15)
    assert pace.share(10, _HALF_LIFE) == pytest.approx(0.25)


def test_new_return_voids_what_was_known() -> None:
    """Guards against a restarted target that bears the slowness of before."""
    pace = _pace(5.0, 5.0)
    pace.begin('restarted', now=11)
    assert pace.slowness == 1


@pytest.mark.parametrize(
    ('slowness', 'expected'),
    [([], 1), ([0.7, 0.8], 1), ([1, 2.5, 3], 2.5)],
)
def test_peers_are_compared_by_their_median(
    slowness: list[float], expected: float
) -> None:
    """Guards against one fast peer that makes all others look slow."""
    assert peers_slowness(slowness) == expected
