"""Counting VMs by the renewals of their entries."""

from nutmegstep.store_watch.vm_registry import EXPIRE_AFTER, VmEntry, VmRegistry

_AFTER_EXPIRY_S = EXPIRE_AFTER.total_seconds() + 1


def _entry(revision: int, domain: str = 'north') -> VmEntry:
    return VmEntry(domain, '10.0.0.1:7740', revision)


def test_own_entry_is_not_counted_twice() -> None:
    """Guards against counting this VM twice: its share of the budgets would be
    too small.
    """
    registry = VmRegistry('vm-1', 'north')
    registry.update({'vm-1': _entry(1), 'vm-2': _entry(2)}, 0)
    assert registry.count(0) == 2


def test_entry_that_is_not_renewed_expires() -> None:
    """Guards against VMs that have been replaced but stay counted, so that
    their share of the budgets is never used.
    """
    registry = VmRegistry('vm-1', 'north')
    registry.update({'vm-2': _entry(2), 'vm-3': _entry(3)}, 0)
    registry.update({'vm-2': _entry(9), 'vm-3': _entry(3)}, _AFTER_EXPIRY_S - 5)
    assert registry.count(_AFTER_EXPIRY_S) == 2
    assert registry.expired_names(_AFTER_EXPIRY_S) == ('vm-3',)


def test_renewal_does_not_depend_on_wall_clocks() -> None:
    """Guards against entries that expire when the time of day jumps: only their
    changes show that they are renewed.
    """
    registry = VmRegistry('vm-1', 'north')
    for step in range(5):
        registry.update({'vm-2': _entry(step)}, step * _AFTER_EXPIRY_S)
    assert registry.count(4 * _AFTER_EXPIRY_S) == 2


def test_neighbours_are_those_of_the_own_domain() -> None:
    """Guards against choosing relays in another failure domain."""
    registry = VmRegistry('vm-1', 'north')
    registry.update({'vm-2': _entry(2), 'vm-3': _entry(3, 'south')}, 0)
    assert set(registry.neighbours(0)) == {'vm-2'}


def test_entries_that_a_restored_store_lacks_are_counted() -> None:
    """Guards against exceeding bounds over all VMs: those that cannot reach the
    restored store do not write the entries again that it has lost.
    """
    registry = VmRegistry('vm-1', 'north')
    registry.update({'vm-2': _entry(2), 'vm-3': _entry(3)}, 0)
    registry.keep_missing(10)
    registry.update({'vm-2': _entry(9)}, 11)
    assert registry.count(11) == 3
    registry.update({'vm-2': _entry(10)}, _AFTER_EXPIRY_S)
    assert registry.count(_AFTER_EXPIRY_S) == 2
