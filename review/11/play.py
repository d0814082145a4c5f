"""Many versions of a large configuration: does a process stay within its memory?"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from stand3 import (BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Machine, Server, Store, ask, attempt_id, configuration,  # noqa: E402
                    play, route, service)

HOST = 'leno12.example'
SHARDS = [f'huvo{number:02d}a' for number in range(10)]
BIG_CONFIG = 350          # big_config of dzk-meklesana: 350 routes more
BIG_CONFIGS = 7           # the whole stays below value_bytes (1,048,576)
STORM_S, GAP_S = 4.0, 0.33  # config_storm of dzk-meklesana
ENDS = 3                  # RULES.md, Fault: three times in the day


def routes(count, version):
    """The route that is asked, and many more like it, one of whose time-outs changes."""
    first = route('r-sweep', HOST, '/rany330/', 2000, 144, gather=SHARDS, top_k=50, min_coverage=0.89)
    more = [
        route(f'r-{number:06d}', f'hufi{number % 30:02d}.example', f'/goka{number:04d}/', 2000, 144,
              gather=SHARDS, top_k=50, min_coverage=0.89)
        for number in range(count)
    ]
    if more:
        more[version % count]['timeout_ms'] = 1900 + version % 100
    return [first, *more]


async def case(record, temporary, machines):
    store = Store()
    await store.start()
    state = {'version': 0, 'routes': 0, 'answers': 0, 'unanswered': 0}

    def change(more=0):
        state['version'] += 1
        state['routes'] += more
        spec = configuration(state['version'], routes(state['routes'], state['version']),
                             [service(name, 31) for name in SHARDS])
        store.put('config', 'main', spec)
        size = len(store.events[-1][2])
        record.write(f'the store accepts version {state["version"]}: {state["routes"] + 1} routes, {size} bytes')
        assert size < 1_048_576

    change()
    for name in SHARDS:
        await Server(store, record, name, 'vidzeme-a', slots=3, queue=18).start()
    machines += [Machine(record, temporary, number, 'vidzeme-a', store) for number in (1, 2)]
    for machine in machines:
        machine.start()
    if not all([await one.wait_ready() for one in machines]):
        return COULD_NOT_RUN
    ends = {one.name: 0 for one in machines}

    async def watch_memory(machine):
        # As the platform does: a process over its memory is killed, and started again.
        tick = 0
        while True:
            await asyncio.sleep(0.1)
            used = machine.anonymous_mb()
            tick += 1
            if not tick % 20:
                record.write(f'machine {machine.name} uses {used:.0f} MB')
            if used > machine.memory_mb or machine.process.poll() is not None:
                ends[machine.name] += 1
                record.write(f'machine {machine.name} is over its memory: {used:.0f} of {machine.memory_mb} MB; '
                             f'end number {ends[machine.name]}', show=True)
                machine.end()
                await asyncio.sleep(0.5)
                machine.start()

    async def client(machine):
        while True:
            attempt = attempt_id()
            answer = await ask(machine.front, HOST, '/rany330/2f', attempt, 2000)
            status = 'none' if answer is None else answer.status
            state['answers' if status == 200 else 'unanswered'] += 1
            record.write(f'client {attempt} at {machine.name}: {status}')
            await asyncio.sleep(0.5)

    tasks = [asyncio.ensure_future(one(machine)) for machine in machines for one in (watch_memory, client)]
    await asyncio.sleep(2)
    for _ in range(BIG_CONFIGS if TROUBLE else 0):
        change(BIG_CONFIG)
        await asyncio.sleep(0.5)
    loop = asyncio.get_running_loop()
    stops = loop.time() + (85 if TROUBLE else 20)
    while loop.time() < stops and min(ends.values()) < ENDS:
        next_at = loop.time() + GAP_S
        if TROUBLE:
            change()
        await asyncio.sleep(max(0, next_at - loop.time()))
    for task in tasks:
        task.cancel()
    record.write(f'{state["version"]} versions; answers {state["answers"]}, others {state["unanswered"]}; ends {ends}',
                 show=True)
    return BROKEN if sum(count >= ENDS for count in ends.values()) >= 2 else HELD


play(HERE, case)
