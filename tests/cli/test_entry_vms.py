"""Tests of commands with the platform stand-in and running control planes."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import orjson
import pytest

from nutmegstep.cli import (
    control_command,
    explain,
    forget,
    peer_calls,
    publish,
    status,
)
from nutmegstep.cli.control_command import execute as change
from nutmegstep.cli.controlling import CONTROL_OBJECT
from nutmegstep.cli.core import build_parser, main
from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.control import control_document, registers_digest
from nutmegstep.declarations import (
    ControlDocument,
    Register,
    decode_control,
    decode_fleet,
    encode_fleet,
)
from nutmegstep.engine.events import ControlChanged
from nutmegstep.model import Fleet
from nutmegstep.peers import TlsFiles
from nutmegstep.platform_api import ObjectClient, VmRecord
from nutmegstep.standins.platform import Outage

_EXAMPLE = str(Path(__file__).parents[2] / 'examples' / 'lothian')
_FLEET = 'config/fleet'
_GENERATION_9 = encode_fleet(Fleet(9, {}, {}, 2, {'d1': 2, 'd2': 2}), 'ilze')


@pytest.fixture(autouse=True)
def _environment(platform, monkeypatch) -> None:
    monkeypatch.setenv('NUTMEGSTEP_PLATFORM', platform.address)
    monkeypatch.setenv('NUTMEGSTEP_OPERATOR', 'ilze')
    # Long timeouts, so that a slow call on a busy machine does not count as
    # an outage.
    monkeypatch.setattr(peer_calls, 'CALL_SECONDS', 10)
    slow = timedelta(seconds=2)
    monkeypatch.setattr(control_command, 'PLATFORM_TIMEOUT', slow)


def _parse(*argv: str):  # type: ignore[no-untyped-def]
    return build_parser().parse_args(argv)


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.02)


async def _status(capsys, *argv: str) -> dict[str, object]:
    capsys.readouterr()
    assert await status.execute(_parse('status', '--json', *argv)) == 0
    found: dict[str, object] = orjson.loads(capsys.readouterr().out)
    return found


async def _stored(platform):  # type: ignore[no-untyped-def]
    stored = await platform.client.get(CONTROL_OBJECT)
    document = stored.map(lambda found: found.document).value_or(b'{}')
    return decode_control(document)


async def test_publish_exceeds_generations_of_vms(
    platform, start_vm, capsys
) -> None:
    """Guards against a publication that VMs ignore.

    The platform has lost the stored configuration, and the VMs know a higher
    generation than any that is stored.
    """
    await platform.client.put(_FLEET, _GENERATION_9)
    first = await start_vm('vm-1')
    second = await start_vm('vm-2', (first.address,))
    await platform.client.delete(_FLEET)
    published = _parse('publish', '--entry', second.address, _EXAMPLE)
    assert await publish.execute(published) == ExitCode.OK
    await _wait_until(lambda: second.plane.state.fleet.generation == 10)
    found = await _status(capsys, '--entry', first.address)
    assert (found['generation'], found['highest_generation']) == (10, 10)
    assert 'the catalogue of index' in str(found['alarms'])


@pytest.mark.parametrize('outage', [Outage.ERRORS, Outage.SILENT])
async def test_withdrawal_in_an_outage_is_stored_later(
    platform, start_vm, outage
) -> None:
    """Guards against a withdrawal made in an outage that is lost later.

    It must reach the other VM during the outage, and the platform afterwards
    with the name of the operator who made it.
    """
    await platform.client.put(_FLEET, _GENERATION_9)
    first = await start_vm('vm-1')
    second = await start_vm('vm-2', (first.address,))
    await _wait_until(
        lambda: 'vm-2' in first.plane.state.membership.members_by_name
    )
    platform.standin.faults.outage = outage
    withdraw = _parse('withdraw', 'd2', '--entry', first.address)
    assert await change(withdraw) == ExitCode.OK
    withdrawn = ControlChanged(frozenset(('d2',)), frozenset())
    await _wait_until(lambda: withdrawn in second.events)
    platform.standin.faults.outage = Outage.NONE
    state = first.plane.state
    digest = registers_digest(state.control)
    await _wait_until(lambda: state.stored_registers_digest == digest)
    expected = {'d2': Register(1, True, 'ilze')}
    assert (await _stored(platform)).failure_domains_by_name == expected


async def test_relays_store_changes_at_the_same_time(
    platform, start_vm
) -> None:
    """Guards against a relay VM that overwrites what another one stored.

    Two relays write changes of an outage at the same time. The watch does not
    report the first write in time, so the relay whose write fails has to read
    the object again and merge it.
    """
    platform.standin.faults.watch_lag = 3600
    await platform.client.put(_FLEET, _GENERATION_9)
    relays = [await start_vm('vm-1'), await start_vm('vm-2')]
    both_write = asyncio.Barrier(2)
    platform.standin.faults.outage = Outage.ERRORS
    for relay in relays:
        relay.objects.before_put = both_write.wait
    commands = [
        (0, ['withdraw', 'd2', '--operator', 'ilze']),
        (0, ['withdraw', 'd1', '--operator', 'ilze']),
        (1, ['withdraw', 'd1', '--operator', 'aidan']),
        (1, ['restore', 'd1', '--operator', 'aidan']),
        (1, ['drain', 't', '--operator', 'aidan']),
    ]
    for number, argv in commands:
        entry = ('--entry', relays[number].address)
        assert await change(_parse(*argv, *entry)) == ExitCode.OK
    platform.standin.faults.outage = Outage.NONE
    expected = ControlDocument(
        {'d1': Register(2, False, 'aidan'), 'd2': Register(1, True, 'ilze')},
        {'t': Register(1, True, 'aidan')},
    )
    async with asyncio.timeout(30):
        while await _stored(platform) != expected:
            await asyncio.sleep(0.02)
    platform.standin.faults.watch_lag = 0
    await _wait_until(
        lambda: all(
            control_document(vm.plane.state.control) == expected
            for vm in relays
        )
    )


async def test_conflict_of_two_operators(
    platform, start_vm, monkeypatch, capsys
) -> None:
    """Guards against overwriting a change that the operator has not seen.

    Another operator changes the same failure domain just before the write.
    The command fails, and succeeds when it is run again.
    """
    await platform.client.put(_FLEET, _GENERATION_9)
    vm = await start_vm('vm-1')
    put = ObjectClient.put

    async def put_late(client, name, document, version=None):  # type: ignore[no-untyped-def]
        monkeypatch.setattr(ObjectClient, 'put', put)
        for command in ('withdraw', 'restore'):
            other = _parse(command, 'd2', '--operator', 'aidan')
            assert await change(other) == ExitCode.OK
        return await put(client, name, document, version)

    monkeypatch.setattr(ObjectClient, 'put', put_late)
    withdraw = _parse('withdraw', 'd2', '--entry', vm.address)
    assert await change(withdraw) == ExitCode.CONFLICT
    assert 'aidan set d2 in service meanwhile' in capsys.readouterr().err
    assert await change(withdraw) == ExitCode.OK
    await _wait_until(
        lambda: bool(vm.plane.state.control.withdrawals_by_domain)
    )


async def test_counter_exceeds_that_of_vms(platform, start_vm) -> None:
    """Guards against a change that VMs ignore.

    The platform has lost the stored registers, and the VM knows a register
    with a counter of 1. The restore has to write a higher one.
    """
    await platform.client.put(_FLEET, _GENERATION_9)
    vm = await start_vm('vm-1')
    assert await change(_parse('withdraw', 'd2')) == ExitCode.OK
    await _wait_until(
        lambda: 'd2' in vm.plane.state.control.withdrawals_by_domain
    )
    await platform.client.delete(CONTROL_OBJECT)
    restore = _parse('restore', 'd2', '--entry', vm.address)
    assert await change(restore) == ExitCode.OK
    expected = {'d2': Register(2, False, 'ilze')}
    assert (await _stored(platform)).failure_domains_by_name == expected


async def test_status_explain_and_forget(platform, start_vm, capsys) -> None:
    """Guards against a status without the alarms that operators need.

    A VM on the roster that does not reply blocks cold targets of its failure
    domain until it is forgotten. Also checks `explain` and `forget`.
    """
    first = await start_vm('vm-1')
    listed = [
        VmRecord('vm-1', first.address, 'd1'),
        VmRecord('vm-9', '127.0.0.1:1', 'd1'),
    ]
    platform.standin.set_vms(listed)
    second = await start_vm('vm-2', (first.address,))
    entry = ('--entry', '127.0.0.1:1', '--entry', second.address)
    before = await _status(capsys, *entry)
    assert not before['ready']
    assert 'no configuration is in force' in str(before['alarms'])
    await platform.client.put(_FLEET, _GENERATION_9)
    members = second.plane.state.membership.members_by_name
    await _wait_until(lambda: second.plane.state.fleet.generation == 9)
    await _wait_until(lambda: 'vm-9' in members)
    found = await _status(capsys, *entry)
    assert found['ready']
    assert found['roster'] == ['vm-1', 'vm-2', 'vm-9']
    assert found['view'] == ['vm-1', 'vm-2']
    assert 'vm-9 is on the roster of d1 and silent' in str(found['alarms'])
    forget_stopped = _parse('forget', 'vm-9', '--entry', first.address)
    assert await forget.execute(forget_stopped) == ExitCode.OK
    await _wait_until(lambda: members['vm-9'].forgotten)
    assert not (await _status(capsys, *entry))['alarms']
    unknown = _parse('forget', 'vm-8', '--entry', first.address)
    assert await forget.execute(unknown) == ExitCode.UNAVAILABLE
    assert await status.execute(_parse('status', *entry)) == ExitCode.OK
    assert 'alarm: none' in capsys.readouterr().out
    known = _parse('explain', 'request-1', *entry)
    assert await explain.execute(known) == ExitCode.OK
    assert 'draining, verdict not_run' in capsys.readouterr().out
    missing = _parse('explain', 'other', *entry)
    assert await explain.execute(missing) == ExitCode.UNAVAILABLE
    assert 'no record of other' in capsys.readouterr().err


async def test_conflict_of_two_configurations(
    platform, start_vm, capsys, caplog
) -> None:
    """Guards against an unnoticed second configuration of one generation.

    VMs ignore it, since its generation is not higher. They must raise an
    alarm that names the command that ends the conflict.
    """
    await platform.client.put(_FLEET, _GENERATION_9)
    vm = await start_vm('vm-1')
    await platform.client.delete(_FLEET)
    other = encode_fleet(decode_fleet(_GENERATION_9), 'aidan')
    await platform.client.put(_FLEET, other)
    await _wait_until(lambda: bool(vm.plane.state.conflicts_by_source))
    assert 'configuration conflict: the platform has' in caplog.text
    found = await _status(capsys, '--entry', vm.address)
    assert 'run nutmegstep publish --above 9' in str(found['alarms'])
    above = _parse('publish', '--above', '9', _EXAMPLE)
    assert await publish.execute(above) == ExitCode.OK
    await _wait_until(lambda: vm.plane.state.fleet.generation == 10)
    found = await _status(capsys, '--entry', vm.address)
    assert 'conflict' not in str(found['alarms'])


async def test_mutual_tls(
    start_vm,
    capsys,
    tmp_path: Path,
    write_files: Callable[[Path], TlsFiles],
) -> None:
    """Guards against peers without valid certificates.

    Renewed certificate files must be used without a restart.
    """
    files = write_files(tmp_path / 'own')
    stranger = write_files(tmp_path / 'stranger')
    mixed = TlsFiles(stranger.certificate, stranger.key, files.authorities)
    first = await start_vm('vm-1', files=files)
    second = await start_vm('vm-2', (first.address,), files)
    entry = ('--entry', first.address)
    refusals = [
        (_flags(stranger), 'is not signed by an authority of --tls-auth'),
        (_flags(mixed), 'the entry VM rejects --tls-certificate'),
        ((), 'the entry VM requires certificates, see --tls-certificate'),
    ]
    for flags, text in refusals:
        refused = _parse('status', *entry, *flags)
        assert await status.execute(refused) == ExitCode.UNAVAILABLE
        assert text in capsys.readouterr().err
    members = first.plane.state.membership.members_by_name
    await _wait_until(lambda: 'vm-2' in members)
    write_files(tmp_path / 'own')
    renewed = first.plane.state.sequence
    found = await _status(capsys, *entry, *_flags(files))
    assert found['vm'] == 'vm-1'
    await _wait_until(lambda: first.plane.state.sequence > renewed + 8)
    found = await _status(capsys, '--entry', second.address, *_flags(files))
    assert found['view'] == ['vm-1', 'vm-2']


def _flags(files: TlsFiles) -> tuple[str, ...]:
    return (
        f'--tls-certificate={files.certificate}',
        f'--tls-key={files.key}',
        f'--tls-authorities={files.authorities}',
    )


@pytest.mark.parametrize(
    ('flags', 'text'),
    [
        (['--tls-key', __file__], 'give all or none of tls-certificate'),
        (['--tls-key', '/absent'], "No such file or directory: '/absent'"),
        (['--operator', 'i' * 257], 'it has 257 characters, not 1 to 256'),
    ],
)
def test_invalid_flags_are_rejected(
    flags: list[str], text: str, capsys
) -> None:
    """Guards against unintended plaintext and names that no VM accepts.

    Plaintext would be used if an incomplete set of TLS files were ignored.
    """
    with pytest.raises(SystemExit) as stopped:
        main(['withdraw', 'd2', '--entry', '127.0.0.1:1', *flags])
    assert stopped.value.code == ExitCode.USAGE
    assert text in capsys.readouterr().err


async def test_silent_platform_is_called_once(platform) -> None:
    """Guards against a withdrawal that waits for several timeouts.

    If the platform does not reply to the first call, the command must go on
    to the entry VMs without further calls of the platform.
    """
    platform.standin.faults.outage = Outage.SILENT
    withdraw = _parse('withdraw', 'd2', '--entry', '127.0.0.1:1')
    assert await change(withdraw) == ExitCode.UNAVAILABLE
    assert sum(platform.standin.calls_by_kind.values()) == 1
