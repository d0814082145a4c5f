"""Faults that the soak injects, drawn by a seed."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping
from random import Random

from tests.platform.deployment import Deployment, announcement
from tests.platform.standin import respond, turn_away
from tests.processes.link import LinkMode, PlatformLink

__all__ = ['FaultInjector']

_ENDLESS = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n' + b'x' * 8_000_000
)
"""More than a gateway keeps of a response."""
_TINY_CHUNKS = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    + b'1\r\nz\r\n' * 200_000
)
"""More chunks than a gateway reads of a response, with few bytes."""
_SIGNATURE = b'x-nutmegstep-server-stamp'
_LINK_MODES = (
    LinkMode.CUT,
    LinkMode.SILENT,
    LinkMode.LOSE_ANSWERS,
    LinkMode.DELAY,
)


class FaultInjector:
    """Injects one fault after the other, some of them at the same time.

    Attributes
    ----------
    planned_stops : int
        Gateways that were asked to stop.
    """

    def __init__(
        self,
        deployment: Deployment,
        store_links: list[PlatformLink],
        target_links: Mapping[str, PlatformLink],
        random: Random,
    ) -> None:
        self.injected: list[str] = []
        self._deployment = deployment
        self._store_links = store_links
        self._target_links = target_links
        self._random = random
        self._busy: set[int] = set()
        self._born = 1
        faults: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill,
            self._stop,
            self._pause,
            self._reload,
            self._disturb_store_link,
            self._disturb_target_link,
            self._lose_store,
            self._restore_store,
            self._cut_all_targets,
            self._garble,
            self._drain_target,
            self._leave,
            self._ask_for_time,
        )
        self._faults = faults

    async def run(self, seconds: float) -> None:
        """Inject faults for some time, then heal everything."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        running: list[asyncio.Task[None]] = []
        while loop.time() < ends:
            fault = self._random.choice(self._faults)
            self.injected.append(f'{loop.time():.2f} {fault.__name__}')
            running.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self._random.uniform(0.3, 1.5))
        await asyncio.gather(*running)

    async def _kill(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _stop(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number: signal.Signals) -> None:
        index = self._take_gateway()
        if index is None:
            return
        gateway = self._deployment.gateways[index]
        gateway.signal(number)
        await gateway.process.wait()
        await self._deployment.restart_gateway(index)
        self._busy.discard(index)

    async def _pause(self) -> None:
        index = self._take_gateway()
        if index is None:
            return
        gateway = self._deployment.gateways[index]
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 3))
        gateway.signal(signal.SIGCONT)
        self._busy.discard(index)

    async def _reload(self) -> None:
        index = self._take_gateway()
        if index is not None:
            self._deployment.gateways[index].signal(signal.SIGHUP)
            self._busy.discard(index)

    async def _disturb_store_link(self) -> None:
        link = self._random.choice(self._store_links)
        await self._disturb(link, self._random.choice(_LINK_MODES))

    async def _disturb_target_link(self) -> None:
        names = sorted(self._target_links)
        link = self._target_links[self._random.choice(names)]
        await self._disturb(link, self._random.choice(_LINK_MODES))

    async def _disturb(self, link: PlatformLink, mode: LinkMode) -> None:
        link.switch(mode)
        await asyncio.sleep(self._random.uniform(0.2, 3))
        link.switch(LinkMode.CUT)
        link.switch(LinkMode.PASS)

    async def _lose_store(self) -> None:
        store = self._deployment.store
        store.is_away = True
        await asyncio.sleep(self._random.uniform(0.2, 3))
        if self._random.random() < 0.5:
            store.forget_history()
        store.is_away = False

    async def _restore_store(self) -> None:
        store = self._deployment.store
        copied = store.copy()
        await asyncio.sleep(self._random.uniform(0.2, 3))
        store.go_away()
        await asyncio.sleep(self._random.uniform(0.1, 2))
        written = [
            (kind, name, store.spec_of(kind, name))
            for kind in ('config', 'servers')
            for name in sorted(store.names(kind))
        ]
        store.restore(copied)
        for kind, name, spec in written:
            store.put(kind, name, spec)
        store.is_away = False

    async def _cut_all_targets(self) -> None:
        mode = self._random.choice(_LINK_MODES)
        await asyncio.gather(
            *(self._disturb(one, mode) for one in self._target_links.values())
        )

    async def _garble(self) -> None:
        names = sorted(self._deployment.targets)
        target = self._deployment.targets[self._random.choice(names)]
        whole = respond()
        cut = self._random.randrange(1, 12)
        spoil = self._random.choice(
            (
                lambda seen: whole(seen)[:-cut],
                lambda seen: whole(seen) * 2,
                lambda seen: b'',
                lambda seen: b'\x00' * cut,
                lambda seen: _ENDLESS,
                lambda seen: _TINY_CHUNKS,
                lambda seen: whole(seen).replace(_SIGNATURE, b'x-nutmegstep'),
            ),
        )
        target.script = spoil
        target.closes_after_answer = self._random.random() < 0.5
        await asyncio.sleep(self._random.uniform(0.2, 2))
        target.script = respond()
        target.closes_after_answer = False

    async def _drain_target(self) -> None:
        name = self._random.choice(sorted(self._deployment.targets))
        _, service, domain = name.rsplit('|')
        link = self._target_links[name]
        for state in ('draining', 'serving'):
            document = announcement(
                self._deployment.targets[name],
                service,
                domain,
                state=state,
            )
            document['address'] = link.address
            self._deployment.store.put('servers', name, document)
            await asyncio.sleep(self._random.uniform(0.5, 2))

    async def _leave(self) -> None:
        """Let a target say in its answers that it leaves, and return later."""
        name = self._random.choice(sorted(self._deployment.targets))
        target = self._deployment.targets[name]
        target.script = respond(headers='server-leaving: 1\r\n')
        await asyncio.sleep(self._random.uniform(0.5, 2))
        self._deployment.store.delete('servers', name)
        await asyncio.sleep(self._random.uniform(0.2, 1))
        target.script = respond()
        self._born += 1
        _, service, domain = name.split('|')
        document = announcement(target, service, domain, born=self._born)
        document['address'] = self._target_links[name].address
        self._deployment.store.put('servers', name, document)

    async def _ask_for_time(self) -> None:
        """Let a target turn requests away, some of them with an odd time."""
        name = self._random.choice(sorted(self._deployment.targets))
        target = self._deployment.targets[name]
        text = self._random.choice(('0.3', '1', '2.5', '-1', 'nan', '9' * 40))
        target.script = turn_away(f'retry-after: {text}\r\n')
        await asyncio.sleep(self._random.uniform(0.2, 2))
        target.script = respond()

    def _take_gateway(self) -> int | None:
        # One gateway at least is left alone, so that service goes on.
        free = set(range(len(self._deployment.gateways))) - self._busy
        if len(free) < 2:
            return None
        index = self._random.choice(sorted(free))
        self._busy.add(index)
        return index
