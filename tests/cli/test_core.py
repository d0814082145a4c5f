"""Tests of the parser and of commands run through it."""

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
def test_exit_code_of_check(path: Path, code: ExitCode, capsys) -> None:
    """Guards against a pre-commit hook that accepts invalid files."""
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
def test_help_shows_variables_and_exit_codes(
    command: str, shown: list[str], capsys
) -> None:
    """Guards against help texts that omit environment variables."""
    with pytest.raises(SystemExit):
        main([command, '--help'])
    printed = capsys.readouterr().out
    assert [text for text in shown if text not in printed] == []


async def test_diff_publish_and_drain(platform, monkeypatch, capsys) -> None:
    """Guards against commands that disagree on the stored configuration.

    After `publish`, `diff` must find no difference, and `drain` must accept
    the published targets only.
    """
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


@pytest.mark.parametrize('count', ['0', '-3', 'many'])
def test_experiment_without_vms_is_refused(count: str, capsys) -> None:
    """Guards against a number of VMs that is silently replaced."""
    with pytest.raises(SystemExit) as stopped:
        main(['experiment', 'vidzeme', '--vms', count])
    assert stopped.value.code == 2
    assert 'argument --vms: not a whole number above 0' in (
        capsys.readouterr().err
    )
