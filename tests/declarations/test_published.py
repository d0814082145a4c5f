"""Tests of the stored form of the configuration."""

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
    """Guards against a value that cannot be decoded.

    Small values are stored as JSON, larger ones compressed.
    """
    fleet = _fleet(targets)
    value = encode_published(fleet, 'ilze').unwrap()
    assert value.startswith(b'{') == (targets == 1)
    published = decode_published(value)
    assert published.fleet == fleet
    assert published.published_by == 'ilze'


def test_too_large_configuration_fails() -> None:
    """Guards against writing a value that the platform rejects as too large."""
    assert encode_published(_fleet(20_000), 'ilze').failure() > 1_000_000


@pytest.mark.parametrize('value', [b'x', b'', b'{}'])
def test_malformed_value_raises_value_error(value: bytes) -> None:
    """Guards against malformed values that raise other errors.

    Callers handle `ValueError` only.
    """
    with pytest.raises(ValueError):
        decode_published(value)


def test_content_must_match_its_digest() -> None:
    """Guards against a value whose content does not match its digest."""
    value = encode_published(_fleet(1), 'ilze').unwrap()
    with pytest.raises(ValueError, match='digest'):
        decode_published(value.replace(b'"slots":2', b'"slots":3'))


def test_digest_ignores_the_generation() -> None:
    """Guards against publishing again what is already in force.

    The digest must not depend on the generation but on all else, and the
    difference must show what changed.
    """
    fleet = _fleet(1)
    assert fleet_digest(fleet) == fleet_digest(replace(fleet, generation=9))
    name, target = next(iter(fleet.targets_by_name.items()))
    changed = replace(fleet, targets_by_name={name: replace(target, slots=5)})
    assert fleet_digest(fleet) != fleet_digest(changed)
    lines = [str(change) for change in diff_fleets(fleet, changed)]
    assert lines == [f'changed target {name}: slots 2 -> 5']
