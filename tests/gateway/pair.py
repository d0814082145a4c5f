"""Two gateways, one of which delegates to the other over loopback connections."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass

from nutmegstep.clock import SystemClock
from nutmegstep.coordinators import CoordinatorChoice
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
    TargetsListed,
    VmsCounted,
)
from nutmegstep.dispatch.effects import SendRequest
from nutmegstep.dispatch.events import TargetReplied
from nutmegstep.gateway import Gateway, GatewayMetrics
from nutmegstep.platform.wire import CODEC
from nutmegstep.web import HttpRequest, HttpResponse, HttpServer
from tests.dispatch.conftest import (
    Dispatcher,
    configuration,
    records,
    reply,
)

_DEADLINE_MS = 2000
ANSWER_HEADERS = (
    (b'x-nutmegstep-attempt-id', b'caller-1'),
    (b'x-nutmegstep-server-stamp', b'signed'),
)


class Vm:
    """A gateway whose sends to targets are collected."""

    def __init__(self, version: int = 1) -> None:
        self.gateway = Gateway(
            Dispatcher().state, SystemClock(), CODEC, GatewayMetrics()
        )
        self.sends: list[SendRequest] = []
        self.cancelled: list[int] = []
        self.is_stopping = False
        self.gateway.pool.send = self._send  # type: ignore[method-assign]
        self.gateway.pool.cancel = (  # type: ignore[method-assign]
            self.cancelled.append
        )
        self.gateway.dispatch(ConfigurationChanged(configuration(version)))
        self.gateway.dispatch(TargetsListed(records()))
        self.has_sent = asyncio.Event()

    def answer_targets(self, **fields: object) -> None:
        """Let all targets answer that have been sent a request.

        `fields` change their replies.
        """
        changed = {'headers': ANSWER_HEADERS, **fields}
        answer = reply(b'r' * 16, **changed)
        for send in self.sends:
            self.gateway.dispatch(TargetReplied(send.send_id, answer))

    async def answer_delegated(self, request: HttpRequest) -> HttpResponse:
        """Handle a request on the port for neighbours."""
        return await self.gateway.handle_delegated(
            request, is_stopping=self.is_stopping
        )

    def _send(self, effect: SendRequest) -> None:
        self.sends.append(effect)
        self.has_sent.set()


@dataclass
class Pair:
    """A VM with a caller, its coordinator and the coordinator's server."""

    member: Vm
    coordinator: Vm
    server: HttpServer

    def use(self, port: int) -> None:
        """Name the coordinator's port to the member."""
        choice = CoordinatorChoice((f'127.0.0.1:{port}',), total=1)
        self.member.gateway.dispatch(VmsCounted(65, 22, choice))

    def lose_links(self) -> None:
        """Cut the member off from all targets; name its substitutes."""
        port = self.server.sockets[0].getsockname()[1]
        addresses = (f'127.0.0.1:{port}', '127.0.0.1:1')
        choice = CoordinatorChoice(substitutes=addresses)
        self.member.gateway.dispatch(VmsCounted(2, 1, choice))
        state = self.member.gateway.state
        state.targets_lost_at = SystemClock().monotonic()
        state.links_suspected_at = state.targets_lost_at - 1


async def not_found(request: HttpRequest) -> HttpResponse:
    """Answer 404."""
    return HttpResponse(404, b'{}')


def query(path: str = '/sweep/x', body: bytes = b'') -> HttpRequest:
    """Return a request of a caller."""
    items = (
        (b'host', b'shop.example'),
        (b'x-nutmegstep-attempt-id', b'caller-1'),
        (b'x-nutmegstep-deadline-ms', b'%d' % _DEADLINE_MS),
        *(((b'content-length', b'%d' % len(body)),) if body else ()),
    )
    headers = {name.decode(): text.decode() for name, text in items}
    return HttpRequest('GET', path, {}, headers, body, path.encode(), items)


async def ask(
    pair: Pair, path: str = '/sweep/x'
) -> 'asyncio.Task[HttpResponse]':
    """Let the member handle a request."""
    return asyncio.create_task(pair.member.gateway.handle(query(path)))


async def within(awaitable: Awaitable[object], seconds: float = 2) -> None:
    """Wait for something, at most for some seconds."""
    await asyncio.wait_for(awaitable, seconds)
