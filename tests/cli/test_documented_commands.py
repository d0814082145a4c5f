"""Runs the commands of the pages for operators as the pages show them."""

import asyncio
import re
import shlex
from pathlib import Path
from types import MappingProxyType

from nutmegstep.cli.core import main
from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.platform_api import VmRecord

_ROOT = Path(__file__).parents[2]
_CODES_BY_COMMAND = MappingProxyType({'diff': ExitCode.DIFFERS})


def _commands(page: str) -> list[list[str]]:
    text = (_ROOT / 'docs' / page).read_text()
    listed = re.findall(r'\| `nutmegstep ([^`]+)` \|', text)
    return [shlex.split(command) for command in listed]


def _run(argv: list[str]) -> object:
    try:
        main(argv)
    except SystemExit as stopped:
        return stopped.code
    raise AssertionError('a command ends with an exit code')


def test_commands_and_flags_of_page_exist(capsys) -> None:
    """Guards against a page that lists a command or flag that does not exist."""
    text = (_ROOT / 'docs' / 'cli.md').read_text()
    table, _, rest = text.partition('| variable |')
    rows = [row for row in table.splitlines() if row.startswith('| `')]
    for name in re.findall('`([a-z]+)', ''.join(rows)):
        assert _run([name, '--help']) == ExitCode.OK
    printed = capsys.readouterr().out
    for flag in re.findall('`(--[a-z-]+)`', rest.partition('| exit')[0]):
        assert flag in printed


async def test_commands_of_operations_page_run(
    platform, start_vm, monkeypatch, capsys
) -> None:
    """Guards against a page with commands that fail when they are run."""
    first = await start_vm('vm-1')
    second = await start_vm('vm-2', (first.address,))
    listed = [
        VmRecord('vm-1', first.address, 'd1'),
        VmRecord('vm-9', '127.0.0.1:1', 'd1'),
    ]
    platform.standin.set_vms(listed)
    members = first.plane.state.membership.members_by_name
    async with asyncio.timeout(30):
        while 'vm-9' not in members:
            await asyncio.sleep(0.02)
    monkeypatch.chdir(_ROOT)
    monkeypatch.setenv('NUTMEGSTEP_PLATFORM', platform.address)
    entries = f'{first.address},{second.address}'
    monkeypatch.setenv('NUTMEGSTEP_ENTRY', entries)
    commands = _commands('OPERATIONS.md')
    assert len(commands) >= 10
    for argv in commands:
        code = await asyncio.to_thread(_run, argv)
        expected = _CODES_BY_COMMAND.get(argv[0], ExitCode.OK)
        assert code == expected, (argv, capsys.readouterr())
