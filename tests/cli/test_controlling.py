"""Tests of changing withdrawals and drains."""

import pytest
from returns.result import Failure, Result, Success

from nutmegstep.cli.controlling import CONTROL_OBJECT, change_control
from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.cli.operators import PeerFailure
from nutmegstep.declarations import (
    ControlChange,
    ControlDocument,
    ControlSubject,
    Register,
    decode_control,
)
from nutmegstep.standins.platform import Outage

_DRAIN = ControlChange(ControlSubject.TARGET, 'a', True, 'ilze')
_UNDRAIN = ControlChange(ControlSubject.TARGET, 'a', False, 'aidan')


class _Peers:
    """Entry VMs of which the one at ``down:1`` refuses all changes."""

    def __init__(self, known: ControlDocument | None = None) -> None:
        self.known = known or ControlDocument()
        self.applied: list[tuple[str, ControlChange]] = []

    async def apply_through_peer(
        self,
        address: str,
        change: ControlChange,
    ) -> Result[None, PeerFailure]:
        if address == 'down:1':
            return Failure(PeerFailure('refused'))
        self.applied.append((address, change))
        return Success(None)

    async def read_control(
        self,
        address: str,
    ) -> Result[ControlDocument, PeerFailure]:
        return Success(self.known)


async def _counter(platform) -> int:
    stored = (await platform.client.get(CONTROL_OBJECT)).unwrap()
    return decode_control(stored.document).targets_by_name['a'].counter


async def test_repeated_change_keeps_the_counter(platform) -> None:
    """Guards against a counter that grows although the state is unchanged."""
    first = await change_control(platform.client, _Peers(), [], _DRAIN)
    again = await change_control(platform.client, _Peers(), [], _DRAIN)
    assert not first.unwrap().already
    assert again.unwrap().already
    assert await _counter(platform) == 1
    await change_control(platform.client, _Peers(), [], _UNDRAIN)
    assert await _counter(platform) == 2


async def test_change_with_lost_reply_is_applied_once(platform) -> None:
    """Guards against applying a change again after its reply was lost."""
    platform.standin.faults.lose_answers = 1
    changed = await change_control(platform.client, _Peers(), [], _DRAIN)
    assert changed.unwrap().through == 'platform'
    assert await _counter(platform) == 1


async def test_conflict_names_the_other_operator(platform, monkeypatch) -> None:
    """Guards against overwriting a change made since the command started.

    Another operator drains and restores the same target between the read and
    the write of the command.
    """
    put = platform.client.put

    async def put_late(name, document, version):  # type: ignore[no-untyped-def]
        monkeypatch.setattr(platform.client, 'put', put)
        await change_control(platform.client, _Peers(), [], _DRAIN)
        await change_control(platform.client, _Peers(), [], _UNDRAIN)
        return await put(name, document, version)

    monkeypatch.setattr(platform.client, 'put', put_late)
    changed = await change_control(platform.client, _Peers(), [], _DRAIN)
    assert changed.failure().code is ExitCode.CONFLICT
    assert 'aidan set a in service' in changed.failure().detail


@pytest.mark.parametrize('outage', [Outage.ERRORS, Outage.SILENT])
async def test_outage_goes_through_a_peer(platform, outage: Outage) -> None:
    """Guards against withdrawals that fail during an outage of the platform.

    The first entry VM is down, so the change goes through the second.
    """
    platform.standin.faults.outage = outage
    peers = _Peers()
    entries = ['down:1', 'up:1']
    changed = await change_control(platform.client, peers, entries, _DRAIN)
    assert changed.unwrap().through == 'up:1'
    assert peers.applied == [('up:1', _DRAIN)]
    without_vms = await change_control(platform.client, peers, [], _DRAIN)
    assert without_vms.failure().code is ExitCode.UNAVAILABLE


@pytest.mark.parametrize(
    ('withdrawn', 'counter'),
    [(True, 7), (False, 8)],
)
async def test_counter_exceeds_that_of_vms(
    platform,
    withdrawn: bool,
    counter: int,
) -> None:
    """Guards against a change that VMs ignore.

    After the platform was restored to an older state, VMs know registers
    with higher counters than the stored ones.
    """
    known = ControlDocument({}, {'a': Register(7, withdrawn)})
    peers = _Peers(known)
    changed = await change_control(platform.client, peers, ['up:1'], _DRAIN)
    assert not changed.unwrap().already
    assert await _counter(platform) == counter
