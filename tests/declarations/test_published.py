"""Tests of the published value."""

from dataclasses import replace
from random import Random

import pytest

from nutmegstep.declarations import (
    decode_published,
    diff_fleets,
    encode_published,
    fleet_digest,
)
from nutmegstep.model import Fleet, Target


def _fleet(targets: int) -> Fleet:
    random = Random(1)
    names = [f'{random.getrandbits(480):x}' for _ in range(targets)]
    return Fleet(
        3,
        {},
        {
            name: Target(name, '127.0.0.1', 1, 'domain-1', 2, 1, 8)
            for name in names
        },
        4,
        {'domain-1': 2},
    )


@pytest.mark.parametrize('targets', [1, 2000])
def test_round_trip(targets: int) -> None:
    """Guards against a compressed value that cannot be read back."""
    fleet = _fleet(targets)
    value = encode_published(fleet, 'ilze').unwrap()
    assert value.startswith(b'{') == (targets == 1)
    published = decode_published(value)
    assert published.fleet == fleet
    assert published.published_by == 'ilze'


def test_too_large() -> None:
    """Guards against a value that the platform cannot store."""
    assert encode_published(_fleet(20_000), 'ilze').failure() > 1_000_000


@pytest.mark.parametrize('value', [b'x', b'', b'{}'])
def test_malformed(value: bytes) -> None:
    """Guards against errors other than the documented one."""
    with pytest.raises(ValueError):
        decode_published(value)


def test_changed_content_is_refused() -> None:
    """Guards against a value whose content does not match its digest."""
    value = encode_published(_fleet(1), 'ilze').unwrap()
    with pytest.raises(ValueError, match='digest'):
        decode_published(value.replace(b'"slots":2', b'"slots":3'))


def test_digest_and_diff() -> None:
    """Guards against a republication of what is already in force."""
    fleet = _fleet(1)
    assert fleet_digest(fleet) == fleet_digest(replace(fleet, generation=9))
    name, target = next(iter(fleet.targets_by_name.items()))
    changed = replace(fleet, targets_by_name={name: replace(target, slots=5)})
    assert fleet_digest(fleet) != fleet_digest(changed)
    lines = [str(change) for change in diff_fleets(fleet, changed)]
    assert lines == [f'changed target {name}: slots 2 -> 5']
