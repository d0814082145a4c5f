"""Stand-ins and entry processes of a small deployment on loopback addresses."""

import asyncio
import os
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from nutmegstep.peers import PeerClient, Traffic
from tests.processes.caller import RECORDS, send
from tests.processes.link import PlatformLink

__all__ = ['Deployment', 'EntryProcess']

_DOMAINS = (1, 2, 3)
_POLL_SECONDS = 0.02
_START_SECONDS = 30
_WARM_SECONDS = 45
_STOP_SECONDS = 45
_COMPLETE_IN_A_ROW = 20

Process = asyncio.subprocess.Process


@dataclass
class EntryProcess:
    """One entry process with its link to the platform."""

    name: str
    domain: int
    process: Process
    link: PlatformLink
    address: str
    peer_address: str

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


@dataclass
class Deployment:
    """Processes that the test started; they are ended by their ids."""

    directory: Path
    stand_ins: dict[int, Process] = field(default_factory=dict)
    entries: dict[str, EntryProcess] = field(default_factory=dict)
    started: list[Process] = field(default_factory=list)
    links: list[PlatformLink] = field(default_factory=list)
    platform: str = ''
    operator: PeerClient = field(default_factory=lambda: PeerClient(Traffic()))

    @property
    def log(self) -> Path:
        """File that receives what the processes print."""
        return self.directory / 'processes.log'

    async def start(self) -> None:
        """Start stand-ins, one process for each failure domain, and VMs."""
        for domain in _DOMAINS:
            self.stand_ins[domain] = await self._run(
                '-m',
                'nutmegstep.standins',
                '--deployment=vidzeme',
                f'--directory={self.directory}',
                f'--domain={domain}',
                '--entry-vms=1',
            )
        port = await _read_when_written(self.directory / 'platform.port')
        self.platform = f'127.0.0.1:{port}'
        for name, domain in (
            ('vm-1', 1),
            ('vm-2', 2),
            ('vm-3', 3),
            ('vm-4', 1),
        ):
            await self.start_entry(name, domain)
        await self.warm_up()

    async def start_entry(self, name: str, domain: int) -> None:
        """Start an entry process; it replaces one of the same name."""
        link = PlatformLink(self.platform)
        self.links.append(link)
        run = len(self.links)
        port_file = self.directory / f'entry-{run}.port'
        peer_port_file = self.directory / f'peer-{run}.port'
        seeds = [
            known.peer_address
            for known in self.entries.values()
            if known.name != name
        ]
        process = await self._run(
            '-m',
            'nutmegstep',
            'serve',
            f'--host=127.0.0.{domain}',
            f'--peer-host=127.0.0.{domain}',
            f'--platform={await link.start()}',
            f'--failure-domain=domain-{domain}',
            f'--vm-name={name}',
            f'--seeds={",".join(seeds)}',
            f'--port-file={port_file}',
            f'--peer-port-file={peer_port_file}',
            '--log-level=error',
        )
        self.entries[name] = EntryProcess(
            name,
            domain,
            process,
            link,
            await _read_when_written(port_file),
            await _read_when_written(peer_port_file),
        )

    async def operate(self, *arguments: str) -> int:
        """Run a command of the operators and return its exit code."""
        process = await self._run('-m', 'nutmegstep', *arguments)
        return await process.wait()

    async def warm_up(self) -> None:
        """Send queries to all VMs until they give whole answers in a row.

        Each target is warmed by the VM that holds the promises for it.
        """
        row = 0
        async with asyncio.timeout(_WARM_SECONDS):
            while row < _COMPLETE_IN_A_ROW:
                replies = await asyncio.gather(
                    *(
                        send(entry.address, f'{RECORDS}/query', b'{}')
                        for entry in self.entries.values()
                    ),
                )
                answered = all(reply.answered for reply in replies)
                row = row + 1 if answered else 0
                await asyncio.sleep(_POLL_SECONDS)

    async def targets(self, domain: int | None = None) -> dict[str, Any]:
        """Return the counts of the targets, of one failure domain or all."""
        chosen = (domain,) if domain else _DOMAINS
        counts: dict[str, Any] = {}
        for one in chosen:
            reply = await send(self._control(one), '/targets', method='GET')
            assert reply.answered, f'no counts of domain-{one}'
            counts.update(reply.document)
        return counts

    async def requests(self, domain: int) -> int:
        """Return how many target requests a failure domain received."""
        counts = await self.targets(domain)
        return sum(target['requests'] for target in counts.values())

    async def executions(self) -> Counter[str]:
        """Return how often each marked request was executed."""
        total: Counter[str] = Counter()
        for target in (await self.targets()).values():
            total.update(target['executions_by_marker'])
        return total

    async def switch(self, action: str, domain: int, **document: Any) -> None:
        """Switch a fault of all targets of a failure domain."""
        document['targets'] = list(await self.targets(domain))
        body = orjson.dumps(document)
        reply = await send(self._control(domain), f'/{action}', body)
        assert reply.answered

    async def stop(self) -> None:
        """End every process that was started, by its id."""
        running = [one for one in self.started if one.returncode is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            async with asyncio.timeout(_STOP_SECONDS):
                await process.wait()
        for link in self.links:
            link.close()
        await self.operator.close()

    def _control(self, domain: int) -> str:
        return (self.directory / f'control-{domain}.port').read_text()

    async def _run(self, *arguments: str) -> Process:
        with self.log.open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                env={**os.environ, 'PYTHONPATH': str(Path.cwd())},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started.append(process)
        return process


async def _read_when_written(path: Path) -> str:
    async with asyncio.timeout(_START_SECONDS):
        while not path.exists():
            await asyncio.sleep(_POLL_SECONDS)
    return path.read_text()
