"""Delegation of queries between two gateways over loopback connections."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import pytest

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
from nutmegstep.gateway.neighbours import serve_neighbours
from nutmegstep.platform.wire import CODEC
from nutmegstep.web import HttpRequest, HttpResponse, HttpServer
from tests.dispatch.conftest import (
    SHARDS,
    Dispatcher,
    configuration,
    records,
    reply,
)

_DEADLINE_MS = 2000
_ANSWER_HEADERS = (
    (b'x-nutmegstep-attempt-id', b'caller-1'),
    (b'x-nutmegstep-server-stamp', b'signed'),
)


class _Vm:
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
        answer = reply(b'r' * 16, headers=_ANSWER_HEADERS, **fields)
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
class _Pair:
    """A VM with a caller, its coordinator and the coordinator's server."""

    member: _Vm
    coordinator: _Vm
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


async def _not_found(request: HttpRequest) -> HttpResponse:
    return HttpResponse(404, b'{}')


@pytest.fixture
async def pair() -> AsyncIterator[_Pair]:
    """Return two gateways with the same configuration."""
    coordinator = _Vm()
    server = await serve_neighbours(
        ('127.0.0.1', 0), coordinator.answer_delegated, _not_found
    )
    made = _Pair(_Vm(), coordinator, server)
    made.use(server.sockets[0].getsockname()[1])
    yield made
    made.member.gateway.close()
    server.close()


def _query(path: str = '/sweep/x', body: bytes = b'') -> HttpRequest:
    items = (
        (b'host', b'shop.example'),
        (b'x-nutmegstep-attempt-id', b'caller-1'),
        (b'x-nutmegstep-deadline-ms', b'%d' % _DEADLINE_MS),
        *(((b'content-length', b'%d' % len(body)),) if body else ()),
    )
    headers = {name.decode(): text.decode() for name, text in items}
    return HttpRequest('GET', path, {}, headers, body, path.encode(), items)


async def _ask(
    pair: _Pair, path: str = '/sweep/x'
) -> 'asyncio.Task[HttpResponse]':
    return asyncio.create_task(pair.member.gateway.handle(_query(path)))


async def _within(awaitable: Awaitable[object], seconds: float = 2) -> None:
    await asyncio.wait_for(awaitable, seconds)


async def test_answer_of_the_coordinator_is_passed_on(pair: _Pair) -> None:
    """The caller gets the coordinator's answer as if this VM had gathered it,
    and targets get the caller's request without the headers between VMs.
    """
    asked = await _ask(pair)
    await _within(pair.coordinator.has_sent.wait())
    assert len(pair.coordinator.sends) == len(SHARDS)
    sent = pair.coordinator.sends[0].request
    names = {name for name, _ in sent.headers}
    assert names == {b'host', b'x-nutmegstep-attempt-id'}
    pair.coordinator.answer_targets()
    answer = await asked
    headers = dict(answer.headers)
    assert answer.status == 200
    assert answer.body == b'r' * 32
    assert headers['x-nutmegstep-missing-parts'] == '0'
    assert headers['x-nutmegstep-attempt-id'] == 'caller-1'
    assert not any(name.startswith('nutmegstep-') for name in headers)
    assert not pair.member.sends


async def test_limit_of_a_target_is_learned_through_a_coordinator(
    pair: _Pair,
) -> None:
    """Guards against a fleet whose VMs exceed the limit of a target all at once
    as they lose their coordinators.
    """
    asked = await _ask(pair, '/fetch/x')
    await _within(pair.coordinator.has_sent.wait())
    target = pair.coordinator.sends[0].target
    pair.coordinator.answer_targets(request_limit=float(0))
    answer = await asked
    assert answer.status == 200
    assert not any(name.startswith('nutmegstep-') for name, _ in answer.headers)
    limits = pair.member.gateway.state.request_limits
    limits.record_send(target)
    assert not limits.may_send(target, SystemClock().monotonic())


async def test_leaving_target_is_learned_through_a_coordinator(
    pair: _Pair,
) -> None:
    """Guards against a VM that sends requests to a target whose answer, which it
    has passed on, said that it leaves.
    """
    asked = await _ask(pair, '/fetch/x')
    await _within(pair.coordinator.has_sent.wait())
    target = pair.coordinator.sends[0].target
    pair.coordinator.answer_targets(is_leaving=True)
    answer = await asked
    assert not any(name.startswith('nutmegstep-') for name, _ in answer.headers)
    registry = pair.member.gateway.state.registry
    assert registry.by_id[target.target_id].is_draining


async def test_waits_for_a_coordinator_that_confirmed(pair: _Pair) -> None:
    """The confirmation arrives before the answer, so that a slow query is not
    taken for a silent coordinator.
    """
    asked = await _ask(pair)
    await _within(pair.coordinator.has_sent.wait())
    await asyncio.sleep(0.06)
    assert not pair.member.sends
    pair.coordinator.answer_targets()
    assert (await asked).status == 200


async def test_caller_that_leaves_cancels_at_the_targets(pair: _Pair) -> None:
    """Targets must not work for a caller that has left."""
    asked = await _ask(pair)
    await _within(pair.coordinator.has_sent.wait())
    asked.cancel()
    await asyncio.sleep(0.1)
    sent = {send.send_id for send in pair.coordinator.sends}
    assert set(pair.coordinator.cancelled) == sent


async def test_order_of_a_vm_without_links_runs_elsewhere(
    pair: _Pair,
) -> None:
    """Guards against failing the orders of callers whose VM has lost its links
    to all targets, and against sending one of them twice.
    """
    pair.lose_links()
    asked = await _ask(pair, '/order/x')
    await _within(pair.coordinator.has_sent.wait())
    pair.coordinator.answer_targets()
    assert (await asked).status == 200
    assert not pair.member.sends
    pair.coordinator.sends.clear()
    pair.coordinator.has_sent.clear()
    asked = await _ask(pair, '/order/y')
    await _within(pair.coordinator.has_sent.wait())
    # The connection is lost while the order runs.
    pair.member.gateway.close()
    assert (await asked).status == 502
    assert len(pair.coordinator.sends) == 1
    assert not pair.member.sends


def _stop(pair: _Pair) -> None:
    pair.coordinator.is_stopping = True


def _change_version(pair: _Pair) -> None:
    pair.coordinator.gateway.dispatch(ConfigurationChanged(configuration(2)))


def _refuse_connections(pair: _Pair) -> None:
    pair.use(1)


@pytest.mark.parametrize(
    'prepare', [_stop, _change_version, _refuse_connections]
)
async def test_member_sends_what_was_declined(
    pair: _Pair, prepare: Callable[[_Pair], None]
) -> None:
    """A coordinator that stops, has another version of the configuration or is
    gone costs the query a round trip, and it counts as not sent.
    """
    prepare(pair)
    asked = await _ask(pair)
    await _within(pair.member.has_sent.wait())
    assert len(pair.member.sends) == len(SHARDS)
    assert not pair.coordinator.sends
    pair.member.answer_targets()
    assert (await asked).status == 200


async def test_silent_coordinator(pair: _Pair) -> None:
    """A frozen coordinator accepts connections and never answers."""

    async def stay_silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    silent = await asyncio.start_server(stay_silent, '127.0.0.1', 0)
    pair.use(silent.sockets[0].getsockname()[1])
    asked = await _ask(pair)
    await _within(pair.member.has_sent.wait(), 0.5)
    pair.member.answer_targets()
    assert (await asked).status == 200
    silent.close()


async def test_reused_address_is_not_believed(pair: _Pair) -> None:
    """Another process may have got the address of a former coordinator."""
    foreign = await serve_neighbours(('127.0.0.1', 0), _not_found, _not_found)
    pair.use(foreign.sockets[0].getsockname()[1])
    asked = await _ask(pair)
    await _within(pair.member.has_sent.wait())
    pair.member.answer_targets()
    assert (await asked).status == 200
    foreign.close()


async def test_terms_of_a_caller_are_ignored(pair: _Pair) -> None:
    """A caller that sends the headers between VMs changes nothing."""
    query = _query()
    spoofed = (*query.header_items, (b'nutmegstep-config-version', b'9'))
    request = HttpRequest(
        'GET', '/sweep/x', {}, query.headers, b'', b'/sweep/x', spoofed
    )
    asked = asyncio.create_task(pair.member.gateway.handle(request))
    await _within(pair.coordinator.has_sent.wait())
    pair.coordinator.answer_targets()
    assert (await asked).status == 200


async def test_large_request_of_a_vm_without_links_is_passed_on(
    pair: _Pair,
) -> None:
    """Guards against refusing the largest requests that callers may send, and
    against blocking a substitute because of their size.
    """
    pair.lose_links()
    body = b'x' * 500_000
    asked = asyncio.create_task(
        pair.member.gateway.handle(_query('/order/x', body))
    )
    await _within(pair.coordinator.has_sent.wait())
    sent = pair.coordinator.sends[0].request
    assert sent.body == body
    pair.coordinator.answer_targets()
    assert (await asked).status == 200
