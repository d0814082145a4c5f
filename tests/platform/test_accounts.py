"""Keys and accounts in the operators' documents and headers."""

import pytest
from returns.pipeline import is_successful

from nutmegstep.accounts import ClientAccount, key_digest
from nutmegstep.dispatch.events import RoutedRequest
from nutmegstep.platform.documents import read_configuration
from nutmegstep.platform.wire import CODEC
from nutmegstep.verdict import Reason, Verdict, http_status, refuse
from nutmegstep.web import HttpRequest
from tests.platform.deployment import configuration

_TENANTS = [
    {
        'name': 'clinic',
        'api_keys': ['k1', 'k2'],
        'priority': 1,
        'rate_per_s': 2.5,
        'burst': 4,
    },
    {'name': 'shop'},
]


def _read(*texts: bytes) -> RoutedRequest:
    """Decode a request with some ``Authorization`` headers."""
    items = (
        (b'host', b'shop.example'),
        (b'x-nutmegstep-tenant', b'forged'),
        *((b'authorization', text) for text in texts),
    )
    headers = {name.decode(): text.decode('latin-1') for name, text in items}
    http = HttpRequest('GET', '/a/', {}, headers, b'', b'/a/', items)
    return CODEC.read_request(http, 1, 0)


def test_accounts_are_decoded() -> None:
    """Guards against accounts that lose their keys, ranks or limits."""
    document = {**configuration(), 'tenants': _TENANTS}
    accounts = read_configuration(document).unwrap().accounts
    assert accounts is not None
    clinic = ClientAccount('clinic', 1, 2.5, 4)
    assert accounts.by_name == {
        'clinic': clinic,
        'shop': ClientAccount('shop'),
    }
    assert accounts.by_key_digest == {
        key_digest(b'k1'): clinic,
        key_digest(b'k2'): clinic,
    }


@pytest.mark.parametrize('tenants', [{}, {'tenants': None}, {'tenants': []}])
def test_configuration_without_accounts_has_none(
    tenants: dict[str, object],
) -> None:
    """Guards against deployments without accounts that ask for keys."""
    read = read_configuration({**configuration(), **tenants})
    assert read.unwrap().accounts is None


@pytest.mark.parametrize('name', ['', 'a\r\nb', 'a b', 'é'])
def test_name_that_no_header_can_hold_is_invalid(name: str) -> None:
    """Guards against a name that ends the head of a request early."""
    document = {**configuration(), 'tenants': [{'name': name}]}
    assert not is_successful(read_configuration(document))


@pytest.mark.parametrize('text', [b'Bearer k1', b'bearer  k1', b'BEARER k1'])
def test_key_is_read_as_a_digest(text: bytes) -> None:
    """Guards against keys that are not recognised, or kept beyond the head."""
    assert _read(text).key_digest == key_digest(b'k1')


@pytest.mark.parametrize(
    'texts',
    [
        (),
        (b'k1',),
        (b'Bearer',),
        (b'Bearer ',),
        (b'Basic k1',),
        (b'Bearer k1 k2',),
        (b'Bearer k1', b'Bearer k2'),
        (b'Bearer \xe9',),
    ],
)
def test_other_credentials_are_no_key(texts: tuple[bytes, ...]) -> None:
    """Guards against a guess at which of several keys is meant."""
    assert not _read(*texts).key_digest


def test_same_key_twice_is_one_key() -> None:
    """Guards against callers that are denied as their proxy repeats a header."""
    assert _read(b'Bearer k1', b'Bearer k1').key_digest == key_digest(b'k1')


def test_private_headers_are_named() -> None:
    """Guards against a key, or an account stated by a caller, that is passed on
    where the configuration has accounts, and lost where it has none.
    """
    request = _read(b'Bearer k1')
    names = {name for name, _ in request.headers}
    assert names == {b'host', b'authorization', b'x-nutmegstep-tenant'}
    assert request.private_headers == {
        b'authorization',
        b'x-nutmegstep-tenant',
    }


def test_unknown_key_is_answered_401() -> None:
    """Guards against callers that retry with a key that nobody holds."""
    refusal = refuse(Verdict.NOT_RUN, Reason.UNKNOWN_KEY, 'no account')
    assert http_status(refusal.reason) == 401
