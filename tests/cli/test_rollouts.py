"""The steps of roll-outs, as the command reads them from logs."""

from pathlib import Path

import orjson
import pytest

from nutmegstep.cli.core import main
from nutmegstep.cli.exit_codes import ExitCode

_ENTRIES = (
    {
        'time': '12:00:08',
        'message': 'rollout_decided',
        'service': 'orders',
        'phase': 'reverted',
        'good': 20,
        'bad': 9,
    },
    {
        'time': '12:00:01',
        'message': 'rollout_stored',
        'service': 'orders',
        'phase': 'trial',
    },
    {
        'time': '12:00:02',
        'message': 'rollout_stored',
        'service': 'bills',
        'phase': 'trial',
    },
    {'time': '12:00:03', 'message': 'target_announced', 'service': 'orders'},
)


def _run(*argv: str) -> object:
    try:
        main(['rollouts', *argv])
    except SystemExit as stopped:
        return stopped.code
    raise AssertionError('a command ends with an exit code')


@pytest.fixture
def log(tmp_path: Path) -> str:
    """Return the path of a log with two roll-outs."""
    path = tmp_path / 'gateway.log'
    path.write_bytes(b'\n'.join(map(orjson.dumps, _ENTRIES)))
    return str(path)


def test_steps_of_a_service_are_printed_in_their_order(
    log: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an operator who sees an old state, or no reason."""
    assert _run('--log', log, 'orders') == ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert [line[:8] for line in lines[:2]] == ['12:00:01', '12:00:08']
    assert 'good 20, bad 9' in lines[1]
    assert lines[2:] == ['orders: reverted']


def test_all_services_are_printed_as_json(
    log: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against roll-outs that a program misses."""
    assert _run('--log', log, '--json') == ExitCode.OK
    document = orjson.loads(capsys.readouterr().out)
    assert document['phases'] == {'orders': 'reverted', 'bills': 'trial'}


def test_logs_without_roll_outs_are_named(tmp_path: Path) -> None:
    """Guards against a wrong file that looks like no roll-out."""
    empty = tmp_path / 'empty.log'
    empty.touch()
    assert _run('--log', str(empty)) == ExitCode.UNAVAILABLE
    assert _run('--log', str(tmp_path / 'none.log')) == ExitCode.INVALID
