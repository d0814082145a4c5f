"""Tests of server and client of the peer interface over loopback sockets."""

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import pytest

from nutmegstep.control import Configuration, ControlState
from nutmegstep.declarations import (
    ControlChange,
    ControlSubject,
    Register,
)
from nutmegstep.membership import ListedVm
from nutmegstep.peers import (
    ClaimReport,
    ClaimState,
    ControlVersions,
    FetchedControl,
    Heartbeat,
    HeartbeatReply,
    KnownVersions,
    PeerClient,
    PeerError,
    PeerHandlers,
    PeerServer,
    Process,
    TlsFiles,
    Traffic,
    WarmReport,
)

_VM = ListedVm('vm-1', 'd1', '127.0.0.1:1', leaving=True)
_VERSIONS = ControlVersions(3, 'x', 1, 2, 3, None)
_HEARTBEAT = Heartbeat(
    Process(_VM, 7), 1, _VERSIONS, ('t',), ('u',), (WarmReport('w', 'b'),)
)
_DOCUMENT = FetchedControl(
    ControlState(
        Configuration(3, 'x', b'{}'), {'d1': Register(2, True, 'ilze')}
    ),
    (_VM,),
    40,
)


def _exchange(heartbeat: Heartbeat) -> HeartbeatReply:
    return HeartbeatReply(
        heartbeat.sender,
        heartbeat.versions,
        heartbeat.asked_targets,
        heartbeat.warm_reports,
    )


async def _claim_status(key: bytes) -> ClaimReport:
    return ClaimReport(
        ClaimState.ABANDONED, abandoned_age=timedelta(milliseconds=key[0])
    )


_HANDLERS = PeerHandlers(
    _exchange,
    lambda known: _DOCUMENT,
    _claim_status,
    lambda: b'{}',
    lambda request_id: request_id.encode(),
    lambda: b'{}',
    lambda command: Register(4, command.withdrawn, command.changed_by),
    lambda name, spread: spread,
)


async def test_calls_preserve_all_fields() -> None:
    """Guards against fields that are lost in the conversion of messages.

    Also checks that messages that exceed a size limit are refused.
    """
    traffic = Traffic()
    server = PeerServer(_HANDLERS, traffic)
    address = f'127.0.0.1:{await server.start("127.0.0.1:0")}'
    client = PeerClient(Traffic(), timeout=10)
    assert await client.exchange(address, _HEARTBEAT) == _exchange(_HEARTBEAT)
    document = await client.fetch_control(address, KnownVersions(1, {'i': 2}))
    assert document == _DOCUMENT
    report = await client.claim_status(address, b'\x05' * 16)
    assert report == ClaimReport(
        ClaimState.ABANDONED, None, timedelta(milliseconds=5)
    )
    command = ControlChange(ControlSubject.TARGET, 't', True, 'ilze')
    assert await client.apply_control(address, command) == Register(
        4, True, 'ilze'
    )
    assert await client.forget(address, 'vm-9', spread=True)
    assert await client.explain(address, 'r') == b'r'
    assert await client.status(address) == b'{}'
    assert await client.read_control(address) == b'{}'
    assert traffic.messages_by_call['Exchange'] == 2
    with pytest.raises(PeerError, match='key has 15 bytes, not 16'):
        await client.claim_status(address, bytes(15))
    with pytest.raises(PeerError, match='request_id has 257 characters'):
        await client.explain(address, 'r' * 257)
    await client.close()
    await server.stop(0)


async def test_plaintext_is_refused_off_loopback() -> None:
    """Guards against unencrypted messages that leave the machine.

    Without certificates neither side may use another than a loopback address.
    """
    with pytest.raises(ValueError, match='plaintext is only for loopback'):
        await PeerServer(_HANDLERS, Traffic()).start('0.0.0.0:0')
    with pytest.raises(ValueError, match='plaintext is only for loopback'):
        await PeerClient(Traffic()).status('10.0.0.1:1')


async def test_certificates_are_checked_and_reloaded(
    tmp_path: Path, write_files: Callable[[Path], TlsFiles]
) -> None:
    """Guards against untrusted peers, and against stale or missing files.

    A client without a certificate of the deployment must be refused. Replaced
    certificate files must be used without a restart. While a file is missing,
    existing channels must go on and a new one must give a clear error.
    """
    files = write_files(tmp_path / 'own')
    untrusted = PeerClient(Traffic(), write_files(tmp_path / 'untrusted'), 10)
    server = PeerServer(_HANDLERS, Traffic(), files)
    address = f'127.0.0.1:{await server.start("127.0.0.1:0")}'
    client = PeerClient(Traffic(), files, 10)
    assert await client.status(address) == b'{}'
    with pytest.raises(PeerError, match='Status at 127.0.0.1:.*UNAVAILABLE'):
        await untrusted.status(address)
    with pytest.raises(PeerError, match='UNAVAILABLE'):
        await PeerClient(Traffic(), timeout=10).status(address)
    write_files(tmp_path / 'own')
    assert await client.status(address) == b'{}'
    assert await PeerClient(Traffic(), files, 10).status(address) == b'{}'
    files.key.unlink()
    assert await client.status(address) == b'{}'
    with pytest.raises(PeerError, match='Status at 127.0.0.1:.*No such file'):
        await PeerClient(Traffic(), files, 10).status(address)
    await client.close()
    await untrusted.close()
    await server.stop(0)
