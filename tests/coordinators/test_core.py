"""Choice of the coordinators of a failure domain."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import pytest

from nutmegstep.coordinators import choose_coordinators
from nutmegstep.store_watch.vm_registry import VmEntry


def _entries(count: int, fast: int = 0) -> dict[str, VmEntry]:
    return {
        f'vm-{number}': VmEntry(
            'north',
            f'10.0.0.{number}:7740',
            1,
            2.15 if number < fast else 0.5,
        )
        for number in range(count)
    }


def test_small_domain_has_none() -> None:
    """With few VMs each gets enough queries to learn from its own."""
    choice = choose_coordinators('vm-1', _entries(7))
    assert choice.addresses == ()
    assert not choice.is_coordinator
    assert choice.total == 0


def test_fast_vms_are_chosen_by_all() -> None:
    """All VMs with the same entries agree, and no slow VM is chosen."""
    entries = _entries(42, fast=3)
    choices = {name: choose_coordinators(name, entries) for name in entries}
    chosen = {name for name, one in choices.items() if one.is_coordinator}
    assert chosen == {'vm-0', 'vm-1', 'vm-2'}
    others = [one for name, one in choices.items() if name not in chosen]
    assert all(
        set(one.addresses) == {entries[name].address for name in chosen}
        for one in others
    )
    first = Counter(one.addresses[0] for one in others)
    assert min(first.values()) >= len(others) / 6


def test_equal_vms() -> None:
    """Among equal VMs one in eight is chosen."""
    choice = choose_coordinators('vm-0', _entries(42))
    assert choice.in_domain == 6


def test_one_fast_vm_gets_a_second() -> None:
    """The loss of one coordinator must leave another."""
    assert choose_coordinators('vm-9', _entries(16, fast=1)).in_domain == 2


@pytest.mark.parametrize('lost', ['vm-0', 'vm-2', 'vm-30'])
def test_loss_of_a_vm_moves_no_other_choice(lost: str) -> None:
    """Connections to the remaining coordinators are kept."""
    entries = _entries(42, fast=3)
    before = choose_coordinators('vm-9', entries)
    remaining = {name: one for name, one in entries.items() if name != lost}
    after = choose_coordinators('vm-9', remaining)
    kept = set(before.addresses) - {entries[lost].address}
    assert kept <= set(after.addresses)


def test_vm_without_an_address_is_not_chosen() -> None:
    """An entry of another writer may have no valid address."""
    entries = _entries(20, fast=2)
    entries['vm-0'] = replace(entries['vm-0'], address='')
    chosen = choose_coordinators('vm-9', entries)
    assert '' not in chosen.addresses


def test_domains_are_counted_apart() -> None:
    """Each failure domain has its own coordinators."""
    north = _entries(20, fast=2)
    south = {
        f'south-{name}': replace(entry, failure_domain='south')
        for name, entry in north.items()
    }
    choice = choose_coordinators('vm-9', {**north, **south})
    assert (choice.in_domain, choice.total) == (2, 4)


def test_substitutes_of_a_small_fleet_are_all_others() -> None:
    """Guards against a VM without links that asks none of the VMs that have
    some.
    """
    entries = {**_entries(2), **_in_south(range(2, 5))}
    for name in entries:
        others = {
            one.address for other, one in entries.items() if other != name
        }
        assert set(choose_coordinators(name, entries).substitutes) == others


def test_substitutes_are_spread_and_of_several_domains() -> None:
    """Guards against a few VMs that serve all that have lost their links, and
    against asking only VMs that may have lost theirs together with this one.
    """
    entries = {**_entries(7), **_in_south(range(7, 14))}
    choices = [choose_coordinators(name, entries) for name in entries]
    firsts = Counter(one.substitutes[0] for one in choices)
    assert max(firsts.values()) <= 5
    south = {entries[f'vm-{number}'].address for number in range(7, 14)}
    assert all(south & set(one.substitutes) for one in choices)
    assert all(set(one.substitutes) - south for one in choices)


def test_coordinators_are_the_first_substitutes() -> None:
    """Guards against substitutes without connections to the targets."""
    entries = _entries(42, fast=3)
    choice = choose_coordinators('vm-9', entries)
    assert set(choice.substitutes[:3]) == set(choice.addresses)


def _in_south(numbers: Iterable[int]) -> dict[str, VmEntry]:
    return {
        f'vm-{number}': VmEntry('south', f'10.0.0.{number}:7740', 1, 0.5)
        for number in numbers
    }
