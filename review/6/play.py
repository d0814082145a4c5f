"""All servers of a service crash while the same harmless request is in flight."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stage2 as stage  # noqa: E402

ZONES = ('vidzeme-a', 'vidzeme-b', 'vidzeme-c')
GATEWAYS = (0, 0, 0, 1, 1, 2, 2)
DESK = (0, 0, 0, 1, 1, 1, 2, 2, 2)
REPORTS = (0, 0, 1, 2)
PER_SECOND = 45
SECONDS = 70
CRASH_AT = 4.0
DOWN_S = 4.5
LAPSE_S = 3.6
RETRY_AFTER_S = 0.2


async def play(record, folder, trouble):
    store = stage.Store()
    await store.start()
    desk = [stage.Server('pasutijumu-galds', ZONES[zone], record, work_s=0.133) for zone in DESK]
    reports = [stage.Server('atskaites', ZONES[zone], record, work_s=0.133) for zone in REPORTS]
    for server in (*desk, *reports):
        await server.start()
        store.put('servers', server.name, server.entry())
    routes = [
        stage.route('order-file-fetch', '/file/', service='pasutijumu-galds'),
        stage.route('report', '/report/', service='atskaites'),
    ]
    services = {'pasutijumu-galds': 100, 'atskaites': 100}
    store.put('config', 'main', stage.configuration(2, routes, services))
    gateways = [
        stage.Gateway(f'front-{number}', ZONES[zone], store, folder, f'127.0.0.{10 + number}')
        for number, zone in enumerate(GATEWAYS)
    ]
    try:
        await asyncio.gather(*(one.start() for one in gateways))
        await asyncio.gather(*(one.wait_ready() for one in gateways))
        await asyncio.sleep(12)
        return await load(record, store, gateways, desk, trouble)
    finally:
        await asyncio.gather(*(one.stop() for one in gateways))


async def load(record, store, gateways, desk, trouble):
    seen: dict[str, list[tuple[float, object]]] = {'file': [], 'report': []}
    started = stage.now()

    async def client(kind, number):
        await asyncio.sleep(number / PER_SECOND)
        sent = stage.now() - started
        for attempt_number in (0, 1):
            gateway = gateways[(number + attempt_number) % len(gateways)]
            attempt = os.urandom(8).hex()
            record.line('client sends', kind, attempt, 'to', gateway.name)
            reason = ''
            try:
                status, _, body = await stage.ask(
                    gateway, 'GET', f'/{kind}/latest', 8000, attempt=attempt
                )
                if status != 200:
                    reason = body.decode()[:160]
            except (OSError, EOFError, TimeoutError) as error:
                status = type(error).__name__
            record.line('client was answered', kind, attempt, status, reason)
            if status == 200:
                break
            await asyncio.sleep(RETRY_AFTER_S)
        seen[kind].append((sent, status))

    async def crash(server):
        await asyncio.sleep(CRASH_AT)
        name = server.name
        server.crash()
        await asyncio.sleep(LAPSE_S)
        store.delete('servers', name)
        await asyncio.sleep(DOWN_S - LAPSE_S)
        await server.restart()
        store.put('servers', server.name, server.entry())

    crashes = [crash(server) for server in desk] if trouble else []
    clients = [client(kind, number) for kind in seen for number in range(int(PER_SECOND * SECONDS))]
    await asyncio.gather(*crashes, *clients)
    shares = {}
    for kind, tries in seen.items():
        served = sum(status == 200 for _, status in tries)
        shares[kind] = served / len(tries)
        record.line(f'{kind}: {served} of {len(tries)} served in the whole play')
    last = [status for sent, status in seen['file'] if sent > SECONDS - 20]
    record.line(f'file: {last.count(200)} of {len(last)} served in the last 20 s')
    names = sorted(store.objects.get('nutmegstep-crashes', {}))
    record.line('crash records in the store:', *names)
    everything = sum(shares.values()) / len(shares)
    print(f'served: {shares}; of the last 20 s: {last.count(200)} of {len(last)}')
    return all(share >= everything / 4 for share in shares.values())


if __name__ == '__main__':
    stage.run_case(pathlib.Path(__file__).resolve().parent, play)
