"""Gateway processes from their start to their stop."""

import asyncio
import json
import signal

import orjson

from tests.platform.deployment import (
    HOST,
    Deployment,
    announcement,
    ask,
    configuration,
    free_ports,
)
from tests.platform.standin import Seen, respond


def _close(seen: Seen) -> bytes:
    return b''


async def test_query_look_up_and_order_are_served(
    deployment: Deployment,
) -> None:
    """Guards against a gateway that serves only some kinds of requests: queries
    over shards, single idempotent requests or non-idempotent ones.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    swept = await ask(gateway.port, '/sweep/1')
    assert swept.status == 200
    assert swept.body == b'r' * 48
    assert len(swept.headers['x-nutmegstep-part-stamps'].split(', ')) == 3
    fetched = await ask(gateway.port, '/fetch/1')
    assert fetched.body == b'r' * 16
    assert 'x-nutmegstep-server-stamp' in fetched.headers
    ordered = await ask(gateway.port, '/order/1', 'POST', b'order')
    assert ordered.status == 200
    bodies = [
        seen.body
        for name, target in deployment.targets.items()
        if 'orders' in name
        for seen in target.seen
    ]
    assert b'order' in bodies


async def test_change_of_the_configuration_is_in_force(
    deployment: Deployment,
) -> None:
    """Guards against a gateway that keeps the routes it read at its start after
    the configuration in the store has changed.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    assert (await ask(gateway.port, '/added/1')).status == 404
    added = {
        'name': 'added',
        'host': HOST,
        'path_prefix': '/added/',
        'route_kind': 'idempotent',
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'service': 'orders',
        'attempts': 2,
    }
    deployment.store.put('config', 'main', configuration(5, added=added))
    await asyncio.sleep(0.5)
    assert (await ask(gateway.port, '/added/1')).status == 200


async def test_order_without_an_answer_may_have_run(
    deployment: Deployment,
) -> None:
    """Guards against a 503, which states that nothing ran, and against a second
    run, after a target has read an order and closed the connection.
    """
    orders = [
        target
        for name, target in deployment.targets.items()
        if 'orders' in name
    ]
    for target in orders:
        target.script = _close
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    reply = await ask(gateway.port, '/order/1', 'POST', b'order')
    assert reply.status == 502
    assert sum(len(one.seen) for one in orders) == 1


async def test_outage_of_the_store_does_not_stop_service(
    deployment: Deployment,
) -> None:
    """Guards against a gateway that refuses requests while the store does not
    answer, instead of using the targets it knows.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    deployment.store.is_away = True
    deployment.store.forget_history()
    await asyncio.sleep(0.5)
    assert (await ask(gateway.port, '/sweep/1')).status == 200


async def test_start_without_the_store_refuses_and_recovers(
    deployment: Deployment,
) -> None:
    """Guards against a 404 for a valid route from a gateway that has not read
    the configuration yet because the store does not answer.
    """
    deployment.store.is_away = True
    gateway = await deployment.start_gateway()
    async with asyncio.timeout(10):
        while not gateway.log_file.read_text().count('started'):
            await asyncio.sleep(0.1)
    reply = await ask(gateway.port, '/sweep/1')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) < 1
    deployment.store.is_away = False
    await gateway.wait_ready()
    assert (await ask(gateway.port, '/sweep/1')).status == 200


async def test_draining_target_gets_no_new_requests(
    deployment: Deployment,
) -> None:
    """Guards against requests to a target that has announced that it drains
    and is about to exit.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    draining = deployment.targets['i-orders-north']
    document = announcement(draining, 'orders', 'north', state='draining')
    deployment.store.put('servers', 'i-orders-north', document)
    await asyncio.sleep(0.8)
    draining.seen.clear()
    for _ in range(10):
        assert (await ask(gateway.port, '/fetch/1')).status == 200
    assert not draining.seen


async def test_invalid_announcements_are_skipped(
    deployment: Deployment,
) -> None:
    """Guards against a gateway that fails on objects among the announcements
    that another writer left and that are invalid.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    for number, junk in enumerate((None, 5, 'x', [], {'service': 7})):
        deployment.store.put('servers', f'junk-{number}', junk)
    await asyncio.sleep(0.8)
    assert (await ask(gateway.port, '/sweep/1')).status == 200
    assert 'announcement cannot be read' in gateway.log_file.read_text()


async def test_target_is_found_beside_odd_entries(
    deployment: Deployment,
) -> None:
    """Guards against a gateway that ends, or follows no change of the targets,
    while an entry cannot be decoded or has a port out of range.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    known = deployment.targets['i-orders-north']
    port = '127.0.0.1:{0}'.format('9' * 5000)
    odd = announcement(known, 'orders', 'north', address=port)
    deployment.store.put('servers', 'odd-port', odd)
    nested = b'[' * 2000 + b']' * 2000
    deployment.store.put('servers', 'odd-nested', orjson.Fragment(nested))
    number = orjson.Fragment(b'{"slots": 1e999}')
    deployment.store.put('servers', 'odd-number', number)
    for name in ('north', 'south', 'west'):
        deployment.store.delete('servers', f'i-orders-{name}')
    await asyncio.sleep(0.8)
    assert (await ask(gateway.port, '/fetch/1')).status == 503
    await deployment.add_target('orders', 'north')
    await asyncio.sleep(0.8)
    assert (await ask(gateway.port, '/fetch/1')).status == 200
    assert gateway.process.returncode is None


async def test_changed_settings_are_taken_without_a_signal(
    deployment: Deployment,
) -> None:
    """Guards against a gateway that keeps the limits of its start after its
    settings file has changed without a signal.
    """
    gateway = await deployment.start_gateway(REPEAT_SLACK='10')
    await gateway.wait_ready()
    text = gateway.settings_file.read_text()
    gateway.settings_file.write_text(text.replace('SLACK=10', 'SLACK=20'))
    async with asyncio.timeout(5):
        while 'settings reloaded' not in gateway.log_file.read_text():
            await asyncio.sleep(0.1)


async def test_invalid_settings_are_not_applied(
    deployment: Deployment,
) -> None:
    """Guards against a running gateway that stops when its settings file
    becomes invalid.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    gateway.settings_file.write_text('no equals sign')
    gateway.signal(signal.SIGHUP)
    async with asyncio.timeout(5):
        while 'settings kept' not in gateway.log_file.read_text():
            await asyncio.sleep(0.1)
    assert (await ask(gateway.port, '/sweep/1')).status == 200


async def test_oversized_header_gets_a_clear_error(
    deployment: Deployment,
) -> None:
    """Guards against a caller that takes up memory with a large header, and
    against effects of its error on other callers.
    """
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    await asyncio.sleep(0.6)
    padding = f'X-Padding: {"x" * 20000}'
    reply = await ask(gateway.port, '/sweep/1', headers=(padding,))
    assert reply.status == 431
    assert (await ask(gateway.port, '/sweep/1')).status == 200


async def test_request_is_repeated_after_a_truncated_response(
    deployment: Deployment,
) -> None:
    """Guards against passing on a truncated response, when a target closes the
    connection before the end of the body.
    """
    broken = deployment.targets['i-orders-north']
    whole = respond()
    gateway = await deployment.start_gateway()
    await gateway.wait_ready()
    # Requests add to the budget of repeats, which is empty at the start.
    for _ in range(8):
        await ask(gateway.port, '/fetch/1')
    broken.script = lambda seen: whole(seen)[:-4]
    broken.closes_after_answer = True
    broken.seen.clear()
    replies = [await ask(gateway.port, '/fetch/1') for _ in range(4)]
    assert {(reply.status, reply.body) for reply in replies} == {
        (200, b'r' * 16),
    }
    assert broken.seen


async def test_metrics_are_served(deployment: Deployment) -> None:
    """Guards against a gateway that does not export its metrics."""
    port = free_ports(1)[0]
    gateway = await deployment.start_gateway(METRICS_PORT=str(port))
    await gateway.wait_ready()
    await ask(gateway.port, '/sweep/1')
    text = (await ask(port, '/metrics')).body.decode()
    assert 'nutmegstep_requests_total{outcome="complete"} 1.0' in text
    assert 'nutmegstep_store_calls_total' in text


async def test_sampled_request_has_a_span_for_each_hop(
    deployment: Deployment,
) -> None:
    """Guards against traces that lack the spans of requests to targets."""
    gateway = await deployment.start_gateway(TRACE_RATIO='1')
    await gateway.wait_ready()
    await ask(gateway.port, '/sweep/1')
    await asyncio.sleep(0.5)
    lines = gateway.log_file.read_text().splitlines()
    spans = [json.loads(line) for line in lines if '"span"' in line]
    names = [span['span'] for span in spans]
    assert names.count('request') == 1
    assert names.count('target request') == 3
    assert len({span['trace_id'] for span in spans}) == 1


async def test_process_stops_when_the_relay_port_is_taken(
    deployment: Deployment,
) -> None:
    """Guards against a process that goes on serving when the task that reads
    the store has failed, here because its relay port is in use.
    """
    gateway = await deployment.start_gateway(
        PEERS_ADDRESS=deployment.store_address,
        GRACE='3',
    )
    async with asyncio.timeout(10):
        await gateway.process.wait()
    assert 'task failed, stopping' in gateway.log_file.read_text()
