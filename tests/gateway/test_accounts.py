"""Accounts of requests that one gateway delegates to another."""

import asyncio

from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    ConfigurationRead,
)
from nutmegstep.platform.wire import CODEC
from nutmegstep.web import HttpRequest
from tests.dispatch.accounts import KEY, account_configuration
from tests.gateway.pair import Pair, query, within


def _query(*added: tuple[bytes, bytes]) -> HttpRequest:
    """Return a request of a caller with further headers."""
    plain = query()
    items = (*plain.header_items, *added)
    headers = {name.decode(): text.decode() for name, text in items}
    return HttpRequest(
        plain.method, plain.path, {}, headers, b'', plain.target, items
    )


def _use_accounts(pair: Pair) -> None:
    for vm in (pair.member, pair.coordinator):
        vm.gateway.dispatch(ConfigurationChanged(account_configuration(2)))
        vm.gateway.dispatch(ConfigurationRead())


async def test_coordinator_gets_the_account_without_the_key(
    pair: Pair,
) -> None:
    """Guards against a key that leaves the VM, and against an account that a
    caller puts into a header of the product.
    """
    _use_accounts(pair)
    asked = asyncio.create_task(
        pair.member.gateway.handle(
            _query(
                (b'authorization', f'Bearer {KEY}'.encode()),
                (b'nutmegstep-account', b'shop'),
                (b'x-nutmegstep-tenant', b'shop'),
            )
        )
    )
    await within(pair.coordinator.has_sent.wait())
    pair.coordinator.answer_targets()
    assert (await asked).status == 200
    sent = pair.coordinator.sends[0].request
    assert sent.account == 'clinic'
    headers = CODEC.request_headers(sent, 100, '')
    named = [text for name, text in headers if name == b'x-nutmegstep-tenant']
    assert named == [b'clinic']
    assert KEY.encode() not in repr(headers).encode()
    assert b'nutmegstep-account' not in {name for name, _ in headers}


async def test_caller_cannot_state_an_account(pair: Pair) -> None:
    """Guards against a caller that names an account instead of a key."""
    _use_accounts(pair)
    answer = await pair.member.gateway.handle(
        _query((b'nutmegstep-account', b'shop'))
    )
    assert answer.status == 401
    assert dict(answer.headers)['WWW-Authenticate'] == 'Bearer'
