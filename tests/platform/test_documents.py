"""Decoding of configurations and announcements, valid and invalid."""

from datetime import timedelta

import pytest
from returns.pipeline import is_successful

from nutmegstep.platform.documents import read_configuration, read_target

_TARGET = {
    'service': 'shard',
    'address': '10.0.0.1:8080',
    'zone': 'north',
    'config_version': 'v1',
    'slots': 3,
    'state': 'serving',
    'cold_remaining_ms': 1500,
    'seq': 4,
    'born': 1700000000000,
}
_CONFIGURATION = {
    'config_version': 7,
    'routes': [
        {
            'name': 'r1',
            'host': 'Shop.example',
            'path_prefix': '/a/',
            'route_kind': 'idempotent',
            'timeout_ms': 1000,
            'target_latency_ms': 68,
            'priority': 2,
            'gather': ['s1', 's2'],
            'attempts': 2,
            'top_k': 5,
            'min_coverage': 0.75,
        },
        {
            'name': 'r2',
            'host': 'shop.example',
            'path_prefix': '/b/',
            'route_kind': 'non_idempotent',
            'timeout_ms': 2000,
            'target_latency_ms': 500,
            'priority': 1,
            'traffic_split': [{'service': 's1', 'weight': 3}],
            'attempts': 2,
        },
    ],
    'services': [{'name': 's1', 'max_connections': 31, 'cold_per_s': 2.5}],
    'limits': {
        'header_bytes': 16384,
        'body_bytes': 262144,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}


def test_announcement_is_decoded() -> None:
    """Guards against a cold target that is treated as warm, because the time
    for which it stays cold is lost.
    """
    record = read_target('i-1', _TARGET, 100).unwrap()
    assert (record.host, record.port) == ('10.0.0.1', 8080)
    assert record.cold_until == pytest.approx(101.5)
    assert not record.is_draining


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('service', None),
        ('service', 5),
        ('address', '10.0.0.1'),
        ('address', 'host:80'),
        ('address', '10.0.0.1:0'),
        ('address', '10.0.0.1:99999'),
        ('address', '10.0.0.1:{0}'.format('9' * 5000)),
        ('address', '10.0.0.1:\N{SUPERSCRIPT TWO}'),
        ('address', '10.0.0.1:\N{FULLWIDTH DIGIT EIGHT}'),
        ('address', '10.0.0.1:+80'),
        ('address', '10.0.0.1:0080'),
        ('address', '0.0.0.0:80'),
        ('address', '224.0.0.1:80'),
        ('address', '255.255.255.255:80'),
        ('service', ''),
        ('zone', ''),
        ('slots', True),
        ('cold_remaining_ms', 1e300),
        ('slots', '3'),
        ('state', 'sleeping'),
        ('born', 'today'),
        ('cold_remaining_ms', '0'),
    ],
)
def test_announcement_with_an_invalid_field_is_rejected(
    name: str,
    text: object,
) -> None:
    """Guards against a crash, or a target record with invalid fields, after
    another writer has changed an announcement.
    """
    assert not is_successful(read_target('i-1', {**_TARGET, name: text}, 0))


@pytest.mark.parametrize(
    'missing', sorted(set(_TARGET) - {'born', 'config_version'})
)
def test_announcement_with_a_missing_field_is_rejected(
    missing: str,
) -> None:
    """Guards against defaults for fields that the target did not write."""
    document = {name: text for name, text in _TARGET.items() if name != missing}
    assert not is_successful(read_target('i-1', document, 0))


@pytest.mark.parametrize('document', [None, 5, 'text', [], {}])
def test_announcement_of_another_type_is_rejected(document: object) -> None:
    """Guards against a document whose exception ends the watch of targets."""
    assert not is_successful(read_target('i-1', document, 0))


def test_configuration_is_decoded() -> None:
    """Guards against losing options of a route or service in decoding."""
    read = read_configuration(_CONFIGURATION).unwrap()
    first = read.routes_by_host['shop.example']['/a/']
    second = read.routes_by_host['shop.example']['/b/']
    assert read.version == 7
    assert first.shards == ('s1', 's2')
    assert first.timeout == timedelta(seconds=1)
    assert not second.is_idempotent
    assert second.destinations[0].weight == 3
    assert read.services_by_name['s1'].cold_rate == pytest.approx(2.5)


@pytest.mark.parametrize(
    ('name', 'text'),
    [('config_version', '7'), ('routes', {}), ('limits', None)],
)
def test_invalid_configuration_says_where(name: str, text: object) -> None:
    """Guards against an error message that does not name the invalid field."""
    read = read_configuration({**_CONFIGURATION, name: text})
    assert f'first at {name}' in read.failure()
