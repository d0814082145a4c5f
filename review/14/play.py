"""Starved: a harmless request is refused everywhere after two short outages of its service."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from stand3 import (BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Machine, Server, Store, ask, attempt_id,  # noqa: E402
                    configuration, play, route, service)

ZONES = ('vidzeme-a', 'vidzeme-b', 'vidzeme-c')
DOWN_S = 4.5                     # srv_crash "all" of dzk-meklesana: for_s = 4.5
UP_S = 0.7                       # time between the two outages
WORK_S = 0.72                    # order-file-fetch works 133 ms, up to 720 ms (site file, max = 720.0)
PAGE = '/goka902/latest'
PER_S, OTHER_PER_S = 45, 45
SECONDS = 70.0


async def case(record, temporary, machines):
    store = Store()
    await store.start()
    store.put('config', 'main', configuration(
        1, [route('r-order', 'hufi27.example', '/goka902/', 8000, 542, service='kafi81c'),
            route('r-other', 'leno12.example', '/rany330/', 2000, 144, service='atsk82b')],
        [service('kafi81c', 100), service('atsk82b', 100)]))
    servers = [Server(store, record, 'kafi81c', zone, slots=6, queue=24, work_s=WORK_S) for zone in ZONES * 3]
    others = [Server(store, record, 'atsk82b', zone, slots=6, queue=24, work_s=0.02) for zone in ZONES]
    for server in (*servers, *others):
        await server.start()
    machines += [Machine(record, temporary, number, zone, store)
                 for number, zone in enumerate((*ZONES, *ZONES, 'vidzeme-a'), 1)]
    for machine in machines:
        machine.start()
    if not all([await one.wait_ready() for one in machines]):
        return COULD_NOT_RUN
    results = {'page': [], 'other': []}

    async def client(kind, number):
        machine, attempt, sent = machines[number % len(machines)], attempt_id(), time.monotonic()
        if kind == 'page':
            reply = await ask(machine.front, 'hufi27.example', PAGE, attempt, 8000)
        else:
            reply = await ask(machine.front, 'leno12.example', f'/rany330/{attempt}', attempt, 2000)
        status = 'none' if reply is None else reply.status
        record.write(f'client {attempt} ({kind}) at {machine.name}: {status} '
                     f'{"" if reply is None or status == 200 else reply.body[:80]}')
        results[kind].append((sent, status))

    tasks = []

    async def press(kind, per_s, seconds):
        ends = time.monotonic() + seconds
        number = 0
        while time.monotonic() < ends:
            number += 1
            tasks.append(asyncio.ensure_future(client(kind, number)))
            await asyncio.sleep(1 / per_s)

    async def heartbeat():
        while True:
            await asyncio.sleep(1.2)
            for server in (*servers, *others):
                server.announce()

    async def outage():
        record.write('all servers of kafi81c crash', show=True)
        down = [(one.listener.address, one) for one in servers]
        for _, one in down:
            one.listener.close()
        servers.clear()
        await asyncio.sleep(3.6)  # three heartbeats of silence
        for _, one in down:
            store.delete('servers', one.id)
        await asyncio.sleep(DOWN_S - 3.6)
        for _, one in down:
            back = Server(store, record, 'kafi81c', one.zone, slots=6, queue=24, work_s=WORK_S)
            await back.start()
            servers.append(back)
        record.write('the servers are back, as new incarnations', show=True)

    async def trouble():
        await asyncio.sleep(5)
        if TROUBLE:
            await outage()
            await asyncio.sleep(UP_S)
            await outage()

    beat = asyncio.ensure_future(heartbeat())
    began = time.monotonic()
    await asyncio.gather(press('page', PER_S, SECONDS), press('other', OTHER_PER_S, SECONDS), trouble())
    await asyncio.gather(*tasks)
    beat.cancel()
    shares = {}
    for kind, found in results.items():
        served = sum(status == 200 for _, status in found)
        late = [status for at, status in found if at > began + SECONDS - 20]
        shares[kind] = served / len(found)
        record.write(f'{kind}: {served} of {len(found)} served, of the last 20 s '
                     f'{sum(one == 200 for one in late)} of {len(late)}', show=True)
    everything = [status for found in results.values() for _, status in found]
    total = sum(status == 200 for status in everything) / len(everything)
    record.write(f'page served {shares["page"]:.3f}, all requests {total:.3f}', show=True)
    return BROKEN if shares['page'] < total / 4 else HELD


play(HERE, case)
