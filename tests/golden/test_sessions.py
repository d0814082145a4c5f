"""Compares the messages of whole scenarios with recorded transcripts.

`make golden` rewrites the transcripts; review the diff before committing it.
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
    """Stores each transcript in a text file of its own."""

    _write_mode = WriteMode.TEXT
    file_extension = 'txt'


@pytest.mark.parametrize('name', _SESSIONS)
def test_session(name: str, snapshot: SnapshotAssertion) -> None:
    """Guards against unintended changes of messages, their order or times."""
    world = run_scenario(load_scenario(_SCENARIOS / f'{name}.yaml'))
    transcript = '\n'.join((*world.transcript, ''))
    assert transcript == snapshot(extension_class=TextFile)
