"""How many VMs there are."""

from nutmegstep.store_watch.vm_registry import EXPIRE_AFTER, VmEntry, VmRegistry

_AFTER_EXPIRY_S = EXPIRE_AFTER.total_seconds() + 1


def _entry(revision: int, domain: str = 'north') -> VmEntry:
    return VmEntry(domain, '10.0.0.1:7740', revision)


def test_own_entry_is_not_counted_twice() -> None:
    """Guards against shares that are too small by one VM."""
    registry = VmRegistry('vm-1', 'north')
    registry.update({'vm-1': _entry(1), 'vm-2': _entry(2)}, 0)
    assert registry.count(0) == 2


def test_vm_that_stops_renewing_is_forgotten() -> None:
    """Guards against replaced VMs that take their share for ever."""
    registry = VmRegistry('vm-1', 'north')
    registry.update({'vm-2': _entry(2), 'vm-3': _entry(3)}, 0)
    registry.update({'vm-2': _entry(9), 'vm-3': _entry(3)}, _AFTER_EXPIRY_S - 5)
    assert registry.count(_AFTER_EXPIRY_S) == 2
    assert registry.expired_names(_AFTER_EXPIRY_S) == ('vm-3',)


def test_renewal_is_seen_without_clocks() -> None:
    """Guards against VMs that are forgotten when the time of day jumps."""
    registry = VmRegistry('vm-1', 'north')
    for step in range(5):
        registry.update({'vm-2': _entry(step)}, step * _AFTER_EXPIRY_S)
    assert registry.count(4 * _AFTER_EXPIRY_S) == 2


def test_neighbours_are_those_of_the_own_domain() -> None:
    """Guards against relays in another failure domain."""
    registry = VmRegistry('vm-1', 'north')
    registry.update({'vm-2': _entry(2), 'vm-3': _entry(3, 'south')}, 0)
    assert set(registry.neighbours(0)) == {'vm-2'}
