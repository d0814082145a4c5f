"""A crowd of clients sends whole requests to one gateway and leaves (review/7, review/9)."""

import asyncio
import dataclasses
import pathlib
import sys

import stage2 as stage

ZONES = ('vidzeme-a', 'vidzeme-b', 'vidzeme-c')
GATEWAYS = (0, 0, 0, 1, 1, 2, 2)
SERVERS = (0, 0, 1, 1, 2)
CROWD = 2000
AT_ONCE = 300
MEMORY_LIMIT = 300 * 10**6
LATE = 0.5


@dataclasses.dataclass
class Seen:
    """What the crowd and the servers saw."""

    alive: bool
    memory: int
    late: int


async def play(record, folder, trouble, kind, size):
    """Press one of seven gateways; return what was seen."""
    store = stage.Store()
    await store.start()
    servers = [
        stage.Server('pasutijumu-galds', ZONES[zone], record, work_s=0.133)
        for zone in SERVERS
    ]
    for server in servers:
        await server.start()
        store.put('servers', server.name, server.entry())
    routes = [
        stage.route('order', '/order/', route_kind=kind, service='pasutijumu-galds')
    ]
    store.put('config', 'main', stage.configuration(2, routes, {'pasutijumu-galds': 100}))
    gateways = [
        stage.Gateway(f'front-{number}', ZONES[zone], store, folder, f'127.0.0.{10 + number}')
        for number, zone in enumerate(GATEWAYS)
    ]
    try:
        await asyncio.gather(*(one.start() for one in gateways))
        await asyncio.gather(*(one.wait_ready() for one in gateways))
        await asyncio.sleep(12)
        return await press(record, folder, gateways[0], servers, trouble, size)
    finally:
        await asyncio.gather(*(one.stop() for one in gateways))


async def press(record, folder, gateway, servers, trouble, size):
    most = [0]
    ended = asyncio.Event()

    async def watch():
        while not ended.is_set():
            most[0] = max(most[0], gateway.memory()[0])
            await asyncio.sleep(0.02)

    watcher = asyncio.create_task(watch())
    before = gateway.memory()[0]
    record.line('memory before', before)
    path = folder / 'crowd.txt'
    crowd = await asyncio.create_subprocess_exec(
        sys.executable, '-B', str(pathlib.Path(__file__).with_name('crowd2.py')),
        gateway.ip, str(gateway.port), str(CROWD), str(AT_ONCE), str(size), str(int(trouble)), str(path),
    )
    try:
        if await crowd.wait():
            raise RuntimeError('the crowd failed')
    finally:
        if crowd.returncode is None:
            crowd.kill()
    record.line('the crowd is over')
    await asyncio.sleep(9)
    ended.set()
    await watcher
    left_at, statuses = {}, {}
    for line in path.read_text().splitlines():
        attempt, left, status = line.split()
        if left != '-':
            left_at[attempt] = float(left)
            record.line(f'client {attempt} left at {float(left) - record.started:.3f}')
        else:
            statuses[status] = statuses.get(status, 0) + 1
            record.line(f'client {attempt} was answered {status}')
    delays = [
        at - left_at[attempt]
        for server in servers
        for at, attempt, _ in server.arrivals
        if attempt in left_at
    ]
    late = sum(delay > LATE for delay in delays)
    worst = max(delays, default=0.0)
    alive = gateway.process.returncode is None
    status, _, _ = await stage.ask(gateway, 'POST', '/order/1', 8000, b'x' * 64)
    record.line(f'{len(left_at)} clients left; others were answered {statuses}')
    record.line(f'memory at its peak {most[0]}, allowed {MEMORY_LIMIT}; now {gateway.memory()[0]}')
    record.line(
        f'{late} requests reached a server over {LATE} s after their client had left, '
        f'the last after {worst:.2f} s'
    )
    record.line(f'process alive: {alive}; a calm client is then answered {status}')
    print(
        f'peak {most[0] / 1e6:.0f} MB (before {before / 1e6:.0f} MB, now '
        f'{gateway.memory()[0] / 1e6:.0f}), {len(delays)} of those that left reached a '
        f'server, {late} of them late, worst {worst:.2f} s, statuses {statuses}, calm client {status}'
    )
    return Seen(alive, most[0], late)
