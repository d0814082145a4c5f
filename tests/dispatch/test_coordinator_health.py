"""How long a VM that has failed is not asked again."""

import pytest

from nutmegstep.dispatch.coordinator_health import CoordinatorHealth

_ADDRESS = '10.0.0.7:7740'


def _is_usable(health: CoordinatorHealth, now: float) -> bool:
    return health.first_usable((_ADDRESS,), now) is not None


@pytest.mark.parametrize('lost_together', [1, 2, 8, 16])
def test_requests_lost_together_are_one_failure(lost_together: int) -> None:
    """Guards against a substitute that is not asked for 8 s, as several requests
    were on their way when it lost its power for a moment.
    """
    health = CoordinatorHealth()
    for number in range(lost_together):
        health.record_failure(_ADDRESS, 100 + number / 100)
    assert not _is_usable(health, 100.49)
    assert _is_usable(health, 100.51)


def test_failures_in_a_row_block_for_longer() -> None:
    """Guards against asking a VM that is away every half second for minutes."""
    health = CoordinatorHealth()
    now = 100.0
    for seconds in (0.5, 1, 2, 4, 8, 8):
        health.record_failure(_ADDRESS, now)
        assert not _is_usable(health, now + seconds - 0.01)
        now += seconds + 0.01
        assert _is_usable(health, now)


def test_last_resort_is_the_one_whose_block_ends_first() -> None:
    """Guards against a VM without links that refuses all requests for seconds, as
    each substitute has failed once, though most of them are back.
    """
    health = CoordinatorHealth()
    second = '10.0.0.8:7740'
    for at in (100.0, 100.6, 101.8):
        health.record_failure(_ADDRESS, at)
    health.record_failure(second, 101.9)
    both = (_ADDRESS, second)
    assert health.first_usable(both, 102) is None
    assert health.last_resort(both, 101.95) == _ADDRESS
    assert health.last_resort(both, 102.05) == second
