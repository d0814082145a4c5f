"""Rates of wrong verdicts of the sequential test, with fixed seeds."""

from collections import Counter
from random import Random
from typing import Final

import pytest

from nutmegstep.rollouts import Evidence, Phase, RollCall, next_phase

_RUNS: Final = 200
_OLD_SHARE: Final = 0.04
_TARGETS: Final = ('a', 'b', 'c')
_TICK: Final = 0.5
_VMS: Final = RollCall(70, 70, 70)


def _play(rate: float, kind: str, bad_share: float, seed: int) -> Phase:
    """Play a roll-out in 12 s, with `rate` requests per second of all VMs."""
    random = Random(seed)
    evidence = Evidence()
    phase, credit = Phase.TRIAL, float(18)
    now, phase_at = float(0), float(0)
    while now < 12 and not phase.is_final:
        now += _TICK
        for _ in range(round(rate * _TICK)):
            credit += 0.06
            is_trial = phase is Phase.TRIAL
            is_new = {
                Phase.TRIAL: credit >= 1 and now > 3,
                Phase.RAMP: random.random() < 0.3,
            }.get(phase, True)
            if not is_new:
                is_bad = random.random() < _OLD_SHARE
                evidence.add_old(not is_bad, is_bad, now)
                continue
            credit -= is_trial
            target, route = random.choice(_TARGETS), random.choice('xxy')
            applies = {
                'good': False,
                'bad': True,
                'later': now > 5,
                'under-load': not is_trial,
                'on-one-route': route == 'y',
                'one-target': target == 'a',
            }[kind]
            share = bad_share if applies else _OLD_SHARE
            is_bad = random.random() < share
            evidence.add_new(target, route, not is_bad, is_bad)
        following = next_phase(phase, now - phase_at, now, 12, evidence, _VMS)
        if following is not phase:
            phase, phase_at = following, now
    return phase


@pytest.mark.parametrize(
    ('rate', 'kind', 'bad_share', 'most_wrong'),
    [
        # Good versions; the first is a service with 132 requests in 12 s.
        (11, 'good', 0, 0.08),
        (50, 'good', 0, 0.03),
        (200, 'good', 0, 0.01),
        (50, 'one-target', 0.6, 0.2),
        (11, 'bad', 0.6, 0.01),
        (11, 'bad', 0.35, 0.1),
        (50, 'bad', 0.35, 0.01),
        (200, 'bad', 0.35, 0.01),
        (50, 'later', 0.6, 0.01),
        (200, 'later', 0.35, 0.01),
        (50, 'under-load', 0.6, 0.01),
        (200, 'under-load', 0.35, 0.01),
        (50, 'on-one-route', 0.6, 0.03),
        (200, 'on-one-route', 0.35, 0.01),
    ],
)
def test_wrong_verdicts_are_rare(
    rate: float, kind: str, bad_share: float, most_wrong: float
) -> None:
    """Guards against good versions that are taken back, and bad ones that stay."""
    right = (
        Phase.COMPLETED if kind in {'good', 'one-target'} else Phase.REVERTED
    )
    ends = Counter(_play(rate, kind, bad_share, seed) for seed in range(_RUNS))
    wrong = 1 - ends[right] / _RUNS
    print(f'{rate}/s {kind} {bad_share}: wrong {wrong:.3f}')
    assert wrong <= most_wrong


def test_old_version_in_trouble_too_is_no_evidence() -> None:
    """Guards against trouble of the whole service that is blamed on a version."""
    evidence = Evidence()
    for step in range(60):
        evidence.add_old(6, 4, step * 0.1)
        evidence.add_new(_TARGETS[step % 3], 'x', step % 5 > 1, step % 5 <= 1)
    assert evidence.suspicion < 3


def test_nothing_is_moved_while_most_vms_are_silent() -> None:
    """Guards against a move without evidence by a VM that is cut off."""
    silent = RollCall(known=70, heard=20, moved=0)
    phase = next_phase(Phase.TRIAL, 11, 11, 12, Evidence(), silent)
    assert phase is Phase.TRIAL


def test_completion_waits_for_vms_that_have_not_moved() -> None:
    """Guards against old targets that stop with requests in flight."""
    waiting = RollCall(known=70, heard=70, moved=69)
    phase = next_phase(Phase.MOVED, 3, 11.9, 12, Evidence(), waiting)
    assert phase is Phase.MOVED
    silent = RollCall(known=70, heard=69, moved=69)
    phase = next_phase(Phase.MOVED, 3, 11.9, 12, Evidence(), silent)
    assert phase is Phase.COMPLETED
    phase = next_phase(Phase.MOVED, 3, 9, 12, Evidence(), silent)
    assert phase is Phase.MOVED


def test_nothing_is_moved_to_a_version_without_targets() -> None:
    """Guards against a move to targets that have not started, or answer nothing."""
    evidence = Evidence()
    unstaffed = RollCall(70, 70, 0, is_staffed=False)
    phase = next_phase(Phase.TRIAL, 11, 11, 12, evidence, unstaffed)
    assert phase is Phase.TRIAL
    evidence.add_old(100, 2, 1)
    assert next_phase(Phase.TRIAL, 11, 11, 12, evidence, _VMS) is Phase.TRIAL
    evidence.add_new('a', 'x', 5, 0)
    assert next_phase(Phase.TRIAL, 11, 11, 12, evidence, _VMS) is Phase.RAMP


@pytest.mark.parametrize('seconds', [3, 6, 12, 60])
def test_phases_fit_into_the_time_ordered(seconds: float) -> None:
    """Guards against short orders that are always late."""
    phase, now, phase_at = Phase.TRIAL, float(0), float(0)
    while not phase.is_final:
        now += _TICK
        following = next_phase(
            phase, now - phase_at, now, seconds, Evidence(), _VMS
        )
        if following is not phase:
            phase, phase_at = following, now
    assert now <= seconds
