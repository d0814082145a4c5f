"""Tests of the merge of control states and of the events of a change."""

import pytest
from hypothesis import given, seed, strategies

from nutmegstep.control import (
    Catalogue,
    Configuration,
    ControlState,
    changed_events,
    merge,
    state_from_document,
)
from nutmegstep.declarations import (
    ControlChange,
    ControlDocument,
    ControlSubject,
    Register,
    apply_change,
    decode_control,
    encode_control,
    encode_fleet,
)
from nutmegstep.engine.events import ControlChanged, FleetChanged
from nutmegstep.model import Fleet

_small = strategies.integers(0, 3)
_names = strategies.sampled_from('abc')
_registers = strategies.dictionaries(
    _names, strategies.builds(Register, _small, strategies.booleans(), _names)
)
_states = strategies.builds(
    ControlState,
    _small.map(lambda number: Configuration(number, str(number), b'')),
    _registers,
    _registers,
    strategies.dictionaries(
        _names, _small.map(lambda number: Catalogue(number, b''))
    ),
)


@seed(1)
@given(_states, _states, _states)
def test_merge_laws(
    first: ControlState, second: ControlState, third: ControlState
) -> None:
    """Guards against VMs that end in different states.

    VMs merge states in different orders and more than once, so the merge must
    be commutative, associative and idempotent.
    """
    assert merge(first, second) == merge(second, first)
    assert merge(first, first) == first
    left = merge(merge(first, second), third)
    assert left == merge(first, merge(second, third))
    assert merge(left, second) == left


def test_equal_generation_keeps_own_configuration() -> None:
    """Guards against a configuration that is replaced by one of its generation.

    Two such configurations can arise after the platform has lost writes. Only
    a higher generation may replace the configuration in force.
    """
    ours = ControlState(Configuration(2, 'x', b'x'))
    theirs = ControlState(Configuration(2, 'y', b'y'))
    assert merge(ours, theirs).configuration.digest == 'x'


def test_repeated_command_keeps_counter() -> None:
    """Guards against a repeated withdrawal that overrides a later restore.

    The register with the higher counter wins a merge, so a command that
    changes nothing must not increase the counter.
    """
    domain = ControlSubject.FAILURE_DOMAIN
    withdraw = ControlChange(domain, 'd1', True, 'ilze')
    restore = ControlChange(domain, 'd1', False, 'aidan')
    once = apply_change(ControlDocument(), withdraw)
    assert apply_change(once, withdraw) == once
    restored = apply_change(once, restore).failure_domains_by_name['d1']
    assert restored == Register(2, False, 'aidan')


def test_unknown_document_format_is_refused() -> None:
    """Guards against withdrawals that end because of an unknown format.

    If unknown fields were ignored, a document of another format would be read
    as one without withdrawals.
    """
    document = ControlDocument({'d1': Register(1, True, 'ilze')})
    assert decode_control(encode_control(document)) == document
    assert state_from_document(document).withdrawals_by_domain['d1'].withdrawn
    with pytest.raises(ValueError, match='withdrawals_by_domain'):
        decode_control(b'{"withdrawals_by_domain": {}}')


def test_withdrawal_event_precedes_configuration() -> None:
    """Guards against requests to a failure domain that is being withdrawn.

    If the event of a new configuration came first, the engine could send to a
    domain that the same change withdraws.
    """
    fleet = Fleet(1, {}, {}, 1, {})
    after = ControlState(
        Configuration(1, 'x', encode_fleet(fleet)), {'d1': Register(1, True)}
    )
    assert changed_events(ControlState(), after) == (
        ControlChanged(frozenset(('d1',)), frozenset()),
        FleetChanged(fleet),
    )
