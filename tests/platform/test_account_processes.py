"""Gateway processes whose configuration has accounts."""

import asyncio
import json

from tests.platform.deployment import (
    Deployment,
    GatewayProcess,
    Reply,
    ask,
    configuration,
)

_APPLY_SECONDS = 5.0
"""Time after a version is stored in which it has to be in force."""


def _store(deployment: Deployment, version: int, *keys: str) -> None:
    tenants = [{'name': 'clinic', 'api_keys': list(keys)}]
    document = {**configuration(version), 'tenants': tenants}
    deployment.store.put('config', 'main', document)


async def _fetch(gateway: GatewayProcess, key: str) -> Reply:
    headers = (f'Authorization: Bearer {key}', 'X-Nutmegstep-Tenant: forged')
    return await ask(gateway.port, '/fetch/1', headers=headers)


async def test_targets_are_told_the_account_and_never_the_key(
    deployment: Deployment,
) -> None:
    """Guards against a key, or an account that a caller states, that reaches a
    target or a log line.
    """
    _store(deployment, 2, 'open-sesame')
    gateway = await deployment.start_gateway(LOG_LEVEL='debug')
    await gateway.wait_ready()
    assert (await _fetch(gateway, 'open-sesame')).status == 200
    assert (await _fetch(gateway, 'open-sesames')).status == 401
    seen = [
        one for target in deployment.targets.values() for one in target.seen
    ]
    assert len(seen) == 1
    head = seen[0].head.lower()
    assert head.count(b'x-nutmegstep-tenant: clinic\r\n') == 1
    assert b'forged' not in head
    assert b'authorization' not in head
    assert 'sesame' not in gateway.log_file.read_text()


async def test_revoked_key_stops_and_a_new_one_works(
    deployment: Deployment,
) -> None:
    """Guards against keys that outlast the version that takes them away, on
    connections that stay open too.
    """
    _store(deployment, 2, 'old')
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    assert (await _fetch(gateway, 'old')).status == 200
    _store(deployment, 3, 'new')
    async with asyncio.timeout(_APPLY_SECONDS):
        while (await _fetch(gateway, 'old')).status != 401:
            await asyncio.sleep(0.1)
    assert (await _fetch(gateway, 'new')).status == 200


async def test_key_is_not_denied_in_an_outage_of_the_store(
    deployment: Deployment,
) -> None:
    """Guards against callers that give up for good as a VM that reaches no store
    does not know their key yet.
    """
    _store(deployment, 2, 'old')
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    deployment.store.http.close()
    async with asyncio.timeout(10):
        while (await _fetch(gateway, 'new')).status == 401:
            await asyncio.sleep(0.2)
    refused = await _fetch(gateway, 'new')
    assert refused.status == 503
    assert json.loads(refused.body)['verdict'] == 'not_run'
    assert float(refused.headers['retry-after']) < 0.1
    assert (await _fetch(gateway, 'old')).status == 200
