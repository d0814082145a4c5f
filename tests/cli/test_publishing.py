"""Tests of conditional publication."""

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
    """Guards against a publication that reverts one it has not seen."""
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
async def test_lost_answers(platform, lost: int) -> None:
    """Guards against an error or a second generation after a lost answer."""
    plan = await _plan(platform.client, 4)
    platform.standin.faults.lose_answers = lost
    stored = (await commit_plan(platform.client, plan)).unwrap()
    assert stored.published.generation == 1
    assert (await _plan(platform.client, 4)).unchanged


async def test_outage_after_the_write_is_uncertain(platform) -> None:
    """Guards against telling that nothing changed when it may have."""
    plan = await _plan(platform.client, 4)
    platform.standin.faults.outage = Outage.ERRORS
    failure = (await commit_plan(platform.client, plan)).failure()
    assert failure.code is ExitCode.UNCERTAIN


async def test_generation_exceeds_that_of_every_node(platform) -> None:
    """Guards against a publication that nodes ignore after a restore."""
    first = await _plan(platform.client, 4)
    await commit_plan(platform.client, first)
    restored = await _plan(platform.client, 4, highest=9)
    assert not restored.unchanged
    stored = (await commit_plan(platform.client, restored)).unwrap()
    assert stored.published.generation == 10
    same = make_plan(stored, stored.published.fleet, 'ilze', 10, above=10)
    assert (same.unchanged, same.fleet.generation) == (False, 11)
