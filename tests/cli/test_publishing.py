"""Tests of planning and writing a publication."""

import pytest

from nutmegstep.cli.exit_codes import ExitCode
from nutmegstep.cli.publishing import (
    Plan,
    commit_plan,
    make_plan,
    read_stored,
)
from nutmegstep.model import Fleet
from nutmegstep.platform_api import ObjectClient
from nutmegstep.standins.platform import Outage


async def _plan(
    client: ObjectClient,
    entry_vms_max: int,
    operator: str = 'ilze',
    highest: int = 0,
) -> Plan:
    base = (await read_stored(client)).unwrap()
    fleet = Fleet(0, {}, {}, entry_vms_max, {})
    return make_plan(base, fleet, operator, highest)


async def test_conflict_names_the_other_change(platform) -> None:
    """Guards against a publication that silently reverts another one.

    Two operators plan on the same stored configuration; the second to write
    must fail and learn what the first has changed.
    """
    late = await _plan(platform.client, 5, 'aidan')
    first = await _plan(platform.client, 4)
    assert (await commit_plan(platform.client, first)).unwrap()
    refused = (await commit_plan(platform.client, late)).failure()
    assert refused.code is ExitCode.CONFLICT
    assert refused.detail == (
        'ilze published generation 1 meanwhile: '
        'changed fleet entry_vms_max: value 0 -> 4'
    )


@pytest.mark.parametrize('lost', [1, 2])
async def test_lost_replies_to_writes(platform, lost: int) -> None:
    """Guards against an error or a second generation after a lost reply.

    The write was applied, but the command does not learn it from the reply.
    """
    plan = await _plan(platform.client, 4)
    platform.standin.faults.lose_answers = lost
    stored = (await commit_plan(platform.client, plan)).unwrap()
    assert stored.published.generation == 1
    assert (await _plan(platform.client, 4)).unchanged


async def test_outage_after_the_write_is_uncertain(platform) -> None:
    """Guards against reporting a write that may be applied as not applied.

    The write fails during an outage, and so does reading back.
    """
    plan = await _plan(platform.client, 4)
    platform.standin.faults.outage = Outage.ERRORS
    failure = (await commit_plan(platform.client, plan)).failure()
    assert failure.code is ExitCode.UNCERTAIN


async def test_generation_exceeds_that_of_every_vm(platform) -> None:
    """Guards against a publication that VMs ignore.

    After the platform was restored to an older state, VMs know a higher
    generation than the stored one.
    """
    first = await _plan(platform.client, 4)
    await commit_plan(platform.client, first)
    restored = await _plan(platform.client, 4, highest=9)
    assert not restored.unchanged
    stored = (await commit_plan(platform.client, restored)).unwrap()
    assert stored.published.generation == 10
    same = make_plan(stored, stored.published.fleet, 'ilze', 10, above=10)
    assert (same.unchanged, same.fleet.generation) == (False, 11)
