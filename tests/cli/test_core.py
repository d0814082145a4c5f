"""Tests of the command line."""

from pathlib import Path

import orjson
import pytest

from nutmegstep.cli import diff, publish
from nutmegstep.cli.control_command import execute as execute_control
from nutmegstep.cli.core import build_parser, main
from nutmegstep.cli.exit_codes import ExitCode

_EXAMPLES = Path(__file__).parents[2] / 'examples'


@pytest.mark.parametrize(
    ('path', 'code'),
    [
        (_EXAMPLES / 'vidzeme', ExitCode.OK),
        (_EXAMPLES, ExitCode.INVALID),
        (_EXAMPLES / 'absent', ExitCode.INVALID),
    ],
)
def test_check(path: Path, code: ExitCode, capsys) -> None:
    """Guards against a pre-commit hook that accepts wrong files."""
    with pytest.raises(SystemExit) as stopped:
        main(['check', '--json', str(path)])
    assert stopped.value.code == code
    assert orjson.loads(capsys.readouterr().out)


@pytest.mark.parametrize(
    ('command', 'shown'),
    [
        ('publish', ['NUTMEGSTEP_PLATFORM', 'NUTMEGSTEP_OPERATOR', '--json']),
        ('withdraw', ['NUTMEGSTEP_ENTRY', 'exit codes:']),
        ('check', ['NUTMEGSTEP_DECLARATIONS']),
    ],
)
def test_help(command: str, shown: list[str], capsys) -> None:
    """Guards against settings that the help does not show."""
    with pytest.raises(SystemExit):
        main([command, '--help'])
    printed = capsys.readouterr().out
    assert [text for text in shown if text not in printed] == []


async def test_commands_over_sockets(platform, monkeypatch, capsys) -> None:
    """Guards against commands that do not work together."""
    monkeypatch.setenv('NUTMEGSTEP_PLATFORM', platform.address)
    monkeypatch.setenv('NUTMEGSTEP_OPERATOR', 'ilze')
    path = str(_EXAMPLES / 'lothian')
    parser = build_parser()
    wanted = parser.parse_args(['diff', path])
    assert await diff.execute(wanted) == ExitCode.DIFFERS
    assert await publish.execute(parser.parse_args(['publish', path])) == 0
    assert await diff.execute(wanted) == ExitCode.OK
    expecting = ['publish', '--expect-generation', '7', path]
    refused = await publish.execute(parser.parse_args(expecting))
    assert refused == ExitCode.CONFLICT
    wrong = parser.parse_args(['drain', 'absent'])
    assert await execute_control(wrong) == ExitCode.INVALID
    right = parser.parse_args(['drain', 'award-00-0'])
    assert await execute_control(right) == ExitCode.OK
    assert 'generation 1 of ilze is stored' in capsys.readouterr().err
