"""When a VM may lend its share of the limits of accounts."""

from nutmegstep.dispatch.account_state import AccountLimits

_NAMES = frozenset(f'vm-{number}' for number in range(24))


def _counted(*, is_first_start: bool, is_counted: bool) -> AccountLimits:
    limits = AccountLimits(is_first_start=is_first_start)
    limits.record_count('vm-0', _NAMES, 0, is_counted=is_counted)
    return limits


def test_vm_that_was_counted_before_lends_once_its_loans_are_over() -> None:
    """Guards against a minute of refusals after all VMs were killed."""
    limits = _counted(is_first_start=False, is_counted=True)
    assert limits.may_own(0)
    assert not limits.has_counted_share(1.6)
    assert limits.has_counted_share(2)


def test_new_vm_lends_once_all_others_have_counted_it() -> None:
    """Guards against shares that add up to more than the limit."""
    limits = _counted(is_first_start=False, is_counted=False)
    assert not limits.may_own(59)
    assert not limits.has_counted_share(59)
    assert limits.has_counted_share(60)


def test_vm_that_joins_takes_no_share_away() -> None:
    """Guards against a fleet that stops lending as one more VM is counted within
    a minute of the first start.
    """
    limits = _counted(is_first_start=True, is_counted=False)
    limits.record_count('vm-0', _NAMES, 2, is_counted=False)
    assert limits.has_counted_share(4)
    limits.record_count('vm-0', _NAMES | {'late'}, 5, is_counted=False)
    assert limits.has_counted_share(6)


def test_vm_that_has_not_read_for_long_waits_anew() -> None:
    """Guards against a VM that counts itself alone after a long outage of the
    store, in which all entries seem to have expired, and holds a whole limit.
    """
    limits = _counted(is_first_start=False, is_counted=True)
    assert limits.has_counted_share(10)
    assert not limits.has_counted_share(700)
    limits.record_count('vm-0', frozenset(('vm-0',)), 1000, is_counted=True)
    assert not limits.has_counted_share(1050)
    assert limits.has_counted_share(1061)
