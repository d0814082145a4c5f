"""A server's answer has lost its signature: it is passed on as a success."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from lib import *  # noqa: E402,F403

SHARE, X, FOR_S = 0.5, 0.05, 5.5  # of the servers, of their answers, seconds
SPOILED = set()


async def spoil_some(server, headers, writer):
    """Answer; in every twentieth answer a byte of the signature's name is wrong."""
    server.answers = getattr(server, 'answers', 0) + 1
    answer = server.reply(headers)
    if server.answers % round(1 / X) == 0:
        attempt = headers['x-nutmegstep-attempt-id']
        SPOILED.add(attempt)
        server.record(f'server {server.id} spoils a byte of its answer to {attempt}')
        answer = answer.replace(b'X-Nutmegstep-Server-Stamp', b'X-Nutmegstep-Server-Stcmp')
    writer.write(answer)


async def case(record, work, vms):
    store = Store()
    await store.start()
    fields = {'timeout_ms': 1500, 'target_latency_ms': 500}
    routes = [
        route('order', '/order/', 'non_idempotent', service='orders', **fields),
    ]
    store.put('config', 'main', configuration(7, routes, ['orders']))
    servers = [Server(record, 'orders', zone, '127.0.0.1') for zone in 'aabb']
    for one in servers:
        await one.start(store)
    for zone in 'ab':
        vm = Vm(f'front-{zone}-1', zone, '127.0.0.1', store, work)
        vms.append(vm)
        await vm.start()
    for vm in vms:
        await vm.wait_ready()
    load = Load(record)

    async def order(number):
        await load.one(
            vms[number % 2], f'POST /order/{number}', f'o{number:04d}', 1500,
            b'one piece',
        )

    spell = Spell(record, servers, SHARE, FOR_S, spoil_some)
    if TROUBLE:
        load.tasks.append(asyncio.create_task(spell.run()))
    await load.steady(9, 80, order)
    unsigned = [
        attempt
        for attempt, (_, status, headers, _) in load.answers.items()
        if 200 <= status < 300 and not headers.get('x-nutmegstep-server-stamp')
    ]
    record(f'{len(load.sent)} requests, {len(SPOILED)} answers with a spoiled byte')
    record('success without a signature (MIXED):', *unsigned)
    if TROUBLE and not SPOILED:
        return NOT_RUN
    return BROKEN if unsigned else HELD


run_case(HERE, case)
