"""Selection of relays in a failure domain."""

import pytest

from nutmegstep.relay import RelayChoice, choose_relays
from nutmegstep.store_watch.vm_registry import VmEntry


def _entries(count: int) -> dict[str, VmEntry]:
    return {
        f'vm-{number}': VmEntry('north', f'10.0.0.{number}:7740', number)
        for number in range(count)
    }


def _choice_of(name: str, entries: dict[str, VmEntry]) -> RelayChoice:
    others = {other: one for other, one in entries.items() if other != name}
    return choose_relays(name, others)


@pytest.mark.parametrize('count', [6, 22, 300])
def test_two_vms_watch_the_store(count: int) -> None:
    """Guards against calls to the store that grow with the number of VMs."""
    entries = _entries(count)
    choices = [_choice_of(name, entries) for name in entries]
    assert choices.count(RelayChoice(())) == 2


def test_all_read_from_vms_that_watch_the_store() -> None:
    """Guards against VMs that read from each other while none watches the
    store.
    """
    entries = _entries(22)
    direct = {
        entries[name].address
        for name in entries
        if not _choice_of(name, entries).addresses
    }
    chosen = [_choice_of(name, entries).addresses for name in entries]
    assert all(set(one) == direct for one in chosen if one)


def test_both_relays_share_the_vms() -> None:
    """Guards against one relay that serves a whole failure domain."""
    entries = _entries(60)
    choices = [_choice_of(name, entries) for name in entries]
    firsts = [one.addresses[0] for one in choices if one.addresses]
    counts = [firsts.count(address) for address in set(firsts)]
    assert len(counts) == 2
    assert min(counts) > 15


def test_small_domain_has_no_relay() -> None:
    """Guards against the delay of a relay where it would save too few calls."""
    entries = _entries(3)
    assert all(not _choice_of(name, entries).addresses for name in entries)


def test_entry_without_address_is_no_relay() -> None:
    """Guards against a relay without a valid address, as another writer of the
    store may leave an entry.
    """
    entries = {name: VmEntry('north', '', 1) for name in _entries(30)}
    assert choose_relays('own', entries) == RelayChoice(())
