"""A dispatcher whose configuration has client accounts."""

from collections.abc import Iterable
from dataclasses import replace

from nutmegstep.accounts import ClientAccount, build_directory, key_digest
from nutmegstep.configuration import Configuration
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    ConfigurationRead,
    TargetsListed,
)
from tests.dispatch.conftest import HOST, Dispatcher, configuration, records

CLINIC = ClientAccount('clinic', rank=2)
SHOP = ClientAccount('shop')
KEY = 'clinic-key'
KEY_DIGEST = key_digest(KEY.encode())
KEYS_BY_ACCOUNT = ((CLINIC, (KEY,)), (SHOP, ('shop-key',)))
PRIVATE_HEADERS = frozenset((b'authorization', b'x-account'))


def account_configuration(
    version: int = 1,
    keys_by_account: Iterable[
        tuple[ClientAccount, Iterable[str]]
    ] = KEYS_BY_ACCOUNT,
) -> Configuration:
    """Return a configuration with accounts, whose fetches need no key."""
    plain = configuration(version)
    routes = dict(plain.routes_by_host[HOST])
    routes['/fetch/'] = replace(routes['/fetch/'], is_public=True)
    return replace(
        plain,
        routes_by_host={HOST: routes},
        accounts=build_directory(keys_by_account),
    )


def account_dispatcher() -> Dispatcher:
    """Return a dispatcher that has just read accounts and targets."""
    made = Dispatcher()
    made.apply(ConfigurationChanged(account_configuration()))
    made.apply(ConfigurationRead())
    made.apply(TargetsListed(records()))
    made.effects.clear()
    return made
