"""Runs every scenario file."""

from pathlib import Path

import pytest

from tests.scenarios.language import load_scenario
from tests.scenarios.runner import run_scenario

_FILES = sorted((Path(__file__).parent / 'files').glob('*.yaml'))


# Known failures, listed in KNOWN-RED.txt. The marker is strict: a scenario that
# passes again fails the test until its entry is removed.
_KNOWN_RED = frozenset(('restart_unseen_by_two_vms',))


def _case(path: Path) -> object:
    marks: list[pytest.MarkDecorator] = []
    if path.stem in _KNOWN_RED:
        expected = pytest.mark.xfail(
            raises=AssertionError,
            strict=True,
            reason='KNOWN-RED.txt',
        )
        marks = [pytest.mark.known_red, expected]
    return pytest.param(path, marks=marks, id=path.stem)


@pytest.mark.parametrize('path', [_case(path) for path in _FILES])
def test_scenario(path: Path) -> None:
    """Guards against the failure that `guards_against` names in the file."""
    run_scenario(load_scenario(path))
