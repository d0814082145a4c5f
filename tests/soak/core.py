"""Runs the soak: ``python -m tests.soak.core --seed 1 --seconds 20``.

With ``--vms 10`` the first failure domain has ten VMs, so that it has coordinators.
"""

import argparse
import asyncio
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from random import Random

from tests.platform.crowd import many_headers, open_crowd
from tests.platform.deployment import (
    DOMAINS,
    SHARDS,
    Deployment,
    announcement,
    configuration,
    read_reply,
)
from tests.platform.standin import TargetStandIn, respond
from tests.processes.link import PlatformLink
from tests.soak.checks import Attempt, Findings
from tests.soak.faults import FaultInjector

_CALLERS = 8
_RECOVERY_SECONDS = 12.0
_SERVED_AFTER = 0.9
_STALLING = 40
"""Callers that stop in a body, together, at one VM after the other."""
_MEMORY_MB = 90
"""Memory in the settings of the VMs; the account of callers is 27 MB."""
_PATHS = ('/sweep/1', '/fetch/1', '/order/1')


async def soak(
    seed: int, seconds: float, directory: Path, vms: int = 1
) -> list[str]:
    """Run one seed; return the promises that were broken.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers.
    seconds : float
        Time in seconds for which faults are injected.
    directory : pathlib.Path
        Folder for settings and logs.
    vms : int, optional
        Gateways in the first failure domain; the others have one each.
    """
    random = Random(seed)
    deployment = Deployment(directory)
    findings = Findings()
    store_links = []
    target_links: dict[str, PlatformLink] = {}
    deployment.store_address = await deployment.store.start()
    deployment.store.put('config', 'main', configuration())
    for service in (*SHARDS, 'orders'):
        for domain in DOMAINS:
            name = f'i|{service}|{domain}'
            target_links[name] = await _add_target(deployment, name)
    for domain in (*DOMAINS[:1] * (vms - 1), *DOMAINS):
        link = PlatformLink(deployment.store_address)
        store_links.append(link)
        await deployment.start_gateway(
            domain, await link.start(), MEMORY_MB=str(_MEMORY_MB)
        )
    for gateway in deployment.gateways:
        await gateway.wait_ready()
    stop = asyncio.Event()
    callers = [
        asyncio.ensure_future(_call(deployment, findings, random, stop))
        for _ in range(_CALLERS)
    ]
    faults_end = asyncio.Event()
    stalling = asyncio.ensure_future(
        _stall(deployment, Random(seed), faults_end)
    )
    injector = FaultInjector(deployment, store_links, target_links, random)
    await injector.run(seconds)
    faults_end.set()
    await stalling
    loop = asyncio.get_running_loop()
    await asyncio.sleep(_RECOVERY_SECONDS)
    recovered = loop.time()
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*callers)
    findings.check_runs(deployment.targets)
    share = findings.served_share(recovered)
    if share < _SERVED_AFTER:
        findings.broken.append(f'served {share:.2f} after the recovery')
    await deployment.stop()
    for link in (*store_links, *target_links.values()):
        link.close()
    served = findings.served_share(0)
    print(
        f'seed {seed}: {len(findings.attempts)} attempts, {served:.3f} served, '
        f'{len(injector.injected)} faults, {len(findings.broken)} broken',
        flush=True,
    )
    return [*findings.broken, *injector.injected] if findings.broken else []


async def _add_target(deployment: Deployment, name: str) -> PlatformLink:
    _, service, domain = name.split('|')
    target = TargetStandIn(respond())
    await target.start()
    deployment.targets[name] = target
    link = PlatformLink('{0}:{1}'.format(*target.address))
    await link.start()
    document = announcement(target, service, domain)
    document['address'] = link.address
    deployment.store.put('servers', name, document)
    return link


async def _stall(
    deployment: Deployment, random: Random, stop: asyncio.Event
) -> None:
    # Their requests never run: a target that runs one breaks a promise.
    while not stop.is_set():
        gateway = random.choice(deployment.gateways)
        with ExitStack() as opened:
            crowd = await open_crowd(
                gateway.port, '/fetch/1', many_headers, _STALLING, _STALLING
            )
            for one in crowd:
                opened.enter_context(one)
            await asyncio.sleep(random.uniform(0, 1))


async def _call(
    deployment: Deployment,
    findings: Findings,
    random: Random,
    stop: asyncio.Event,
) -> None:
    while not stop.is_set():
        gateway = random.choice(deployment.gateways)
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                gateway.port,
            )
        except OSError:
            await asyncio.sleep(0.05)
            continue
        await _use_connection(findings, random, stop, (reader, writer))
        writer.close()


async def _use_connection(
    findings: Findings,
    random: Random,
    stop: asyncio.Event,
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> None:
    # Callers keep using a connection until it is closed.
    reader, writer = streams
    loop = asyncio.get_running_loop()
    while not stop.is_set():
        path = random.choice(_PATHS)
        attempt = Attempt(f'{random.getrandbits(64):016x}', path, loop.time())
        findings.attempts.append(attempt)
        method = 'POST' if path.startswith('/order/') else 'GET'
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'X-Nutmegstep-Attempt-Id: {attempt.caller_id}\r\n'
            'X-Nutmegstep-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n'
        )
        try:
            writer.write(head.encode())
            attempt.reply = await read_reply(reader)
        except (OSError, EOFError, TimeoutError):
            return
        findings.check_reply(attempt)
        if attempt.reply.headers.get('connection') == 'close':
            return
        await asyncio.sleep(random.uniform(0, 0.1))


def main() -> int:
    """Run seeds in turn; return 1 when one of them broke a promise."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--vms', type=int, default=1)
    arguments = parser.parse_args()
    failed = False
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        broken = asyncio.run(
            soak(seed, arguments.seconds, directory, arguments.vms)
        )
        if broken:
            failed = True
            print(f'seed {seed} failed, logs in {directory}')
            print(*broken, sep='\n', flush=True)
    return int(failed)


if __name__ == '__main__':
    sys.exit(main())
