"""A server sends a body without end in small chunks: the VM does nothing else."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from lib import *  # noqa: E402,F403

TIMEOUT_S = 0.3  # of the route /check/, whose servers are all sound
DEADLINE_MS = 3000  # of its clients
SHARE, FOR_S = 0.3, 6.0  # two servers of seven, seconds
CHUNK = b'1\r\nz\r\n' * 10_000


async def answer_endlessly(server, headers, writer):
    """Send a body that does not end, until the caller closes."""
    attempt = headers['x-nutmegstep-attempt-id']
    head = server.reply(headers, body=b'', extra=['Transfer-Encoding: chunked'])
    writer.write(head.replace(b'Content-Length: 0\r\n', b''))
    sent = 0
    server.record(f'server {server.id} begins a body without end for {attempt}')
    try:
        while True:
            writer.write(CHUNK)
            sent += len(CHUNK)
            await writer.drain()
    except (ConnectionError, OSError):
        server.record(f'server {server.id} has sent {sent} B to {attempt}, closed')
    return 'close'


async def case(record, work, vms):
    store = Store()
    await store.start()
    routes = [
        route('fetch', '/fetch/', service='orders', timeout_ms=8000, target_latency_ms=542),
        route('check', '/check/', service='checks', timeout_ms=round(TIMEOUT_S * 1000), target_latency_ms=68),
    ]
    store.put('config', 'main', configuration(7, routes, ['orders', 'checks']))
    servers = [Server(record, 'orders', zone, '127.0.0.1') for zone in 'aabbabb']
    servers += [Server(record, 'checks', zone, '127.0.0.1') for zone in 'aabb']
    for one in servers:
        await one.start(store)
    for zone in 'ab':
        vm = Vm(f'front-{zone}-1', zone, '127.0.0.1', store, work)
        vms.append(vm)
        await vm.start()
    for vm in vms:
        await vm.wait_ready()
    await asyncio.sleep(BOUNDS['stable_window_ms'] / 1000)
    load = Load(record)
    lags = []

    async def tick():
        """Note how late this process is, which plays clients and servers."""
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.02)
            lags.append(time.monotonic() - at - 0.02)

    ticker = asyncio.create_task(tick())

    async def send(number):
        kind = 'fetch' if number % 3 == 0 else 'check'
        await load.one(
            vms[number % 2], f'GET /{kind}/{number}', f'{kind}{number:04d}',
            8000 if kind == 'fetch' else DEADLINE_MS,
        )

    spell = Spell(record, servers[:7], SHARE, FOR_S, answer_endlessly)
    if TROUBLE:
        load.tasks.append(asyncio.create_task(spell.run()))
    await load.steady(12, 30, send)
    ticker.cancel()
    record(f'the stand-ins themselves were {max(lags):.3f} s late at most')
    if max(lags) > 0.3:
        return NOT_RUN
    checks = [one for one in load.sent if one.startswith('check')]
    unanswered, later = load.late(TIMEOUT_S, checks)
    never = [one for one in checks if one not in load.answers]
    record(f'{len(checks)} requests on /check/, {len(never)} without an answer by the deadline of 3 s')
    record(f'{unanswered} of them unanswered at timeout_ms, {later} 0.5 s later')
    return BROKEN if later >= 8 and later > unanswered / 2 else HELD


run_case(HERE, case)
