"""Runs every scenario file."""

from pathlib import Path

import pytest

from tests.scenarios.language import load_scenario
from tests.scenarios.runner import run_scenario

_FILES = sorted((Path(__file__).parent / 'files').glob('*.yaml'))


@pytest.mark.parametrize('path', _FILES, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    """Guards against the failure that the file names."""
    run_scenario(load_scenario(path))
