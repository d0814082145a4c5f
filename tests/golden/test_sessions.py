"""Golden files of whole sessions: every message in order.

`make golden` rewrites them; read the diff before you commit it.
"""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion
from syrupy.extensions.single_file import (
    SingleFileSnapshotExtension,
    WriteMode,
)

from tests.scenarios.language import load_scenario
from tests.scenarios.runner import run_scenario

_SCENARIOS = Path(__file__).parents[1] / 'scenarios' / 'files'
_SESSIONS = (
    'reset_then_other_replica',
    'version_gone_restart',
    'one_shot_reset_after',
    'one_shot_both_vms_at_once',
    'one_shot_platform_outage',
    'withdrawn_domain',
    'graceful_stop',
)


class TextFile(SingleFileSnapshotExtension):
    """One readable text file for each session."""

    _write_mode = WriteMode.TEXT
    file_extension = 'txt'


@pytest.mark.parametrize('name', _SESSIONS)
def test_session(name: str, snapshot: SnapshotAssertion) -> None:
    """Guards against unnoticed changes in the order of messages."""
    world = run_scenario(load_scenario(_SCENARIOS / f'{name}.yaml'))
    transcript = '\n'.join((*world.transcript, ''))
    assert transcript == snapshot(extension_class=TextFile)
