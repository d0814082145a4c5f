"""Delegation of queries between two gateways over loopback connections."""

import asyncio
from collections.abc import Callable

import pytest

from nutmegstep.clock import SystemClock
from nutmegstep.dispatch.control_events import (
    ConfigurationChanged,
)
from nutmegstep.gateway.neighbours import serve_neighbours
from nutmegstep.web import HttpRequest
from tests.dispatch.conftest import (
    SHARDS,
    configuration,
)
from tests.gateway.pair import (
    ANSWER_HEADERS,
    Pair,
    ask,
    not_found,
    query,
    within,
)


async def test_answer_of_the_coordinator_is_passed_on(pair: Pair) -> None:
    """The caller gets the coordinator's answer as if this VM had gathered it,
    and targets get the caller's request without the headers between VMs.
    """
    asked = await ask(pair)
    await within(pair.coordinator.has_sent.wait())
    assert len(pair.coordinator.sends) == len(SHARDS)
    sent = pair.coordinator.sends[0].request
    names = {name for name, _ in sent.headers}
    assert names == {b'host', b'x-nutmegstep-attempt-id'}
    pair.coordinator.answer_targets()
    answer = await asked
    headers = dict(answer.headers)
    assert answer.status == 200
    assert answer.body == b'r' * 32
    assert headers['x-nutmegstep-missing-parts'] == b'0'
    assert headers['x-nutmegstep-attempt-id'] == b'caller-1'
    assert not any(name.startswith('nutmegstep-') for name in headers)
    assert not pair.member.sends


async def test_value_of_a_header_is_passed_on_as_bytes(pair: Pair) -> None:
    """Guards against an answer that one of two VMs never writes, as a byte of a
    header is not ASCII.
    """
    asked = await ask(pair, '/fetch/x')
    await within(pair.coordinator.has_sent.wait())
    shop = (b'x-shop', b'Lampu Fran\xf3ize')
    pair.coordinator.answer_targets(headers=(*ANSWER_HEADERS, shop))
    answer = await asked
    assert answer.status == 200
    assert dict(answer.headers)['x-shop'] == shop[1]


async def test_limit_of_a_target_is_learned_through_a_coordinator(
    pair: Pair,
) -> None:
    """Guards against a fleet whose VMs exceed the limit of a target all at once
    as they lose their coordinators.
    """
    asked = await ask(pair, '/fetch/x')
    await within(pair.coordinator.has_sent.wait())
    target = pair.coordinator.sends[0].target
    pair.coordinator.answer_targets(request_limit=float(0))
    answer = await asked
    assert answer.status == 200
    assert not any(name.startswith('nutmegstep-') for name, _ in answer.headers)
    limits = pair.member.gateway.state.request_limits
    limits.record_send(target)
    assert not limits.may_send(target, SystemClock().monotonic())


async def test_leaving_target_is_learned_through_a_coordinator(
    pair: Pair,
) -> None:
    """Guards against a VM that sends requests to a target whose answer, which it
    has passed on, said that it leaves.
    """
    asked = await ask(pair, '/fetch/x')
    await within(pair.coordinator.has_sent.wait())
    target = pair.coordinator.sends[0].target
    pair.coordinator.answer_targets(is_leaving=True)
    answer = await asked
    assert not any(name.startswith('nutmegstep-') for name, _ in answer.headers)
    registry = pair.member.gateway.state.registry
    assert registry.by_id[target.target_id].is_draining


async def test_waits_for_a_coordinator_that_confirmed(pair: Pair) -> None:
    """The confirmation arrives before the answer, so that a slow query is not
    taken for a silent coordinator.
    """
    asked = await ask(pair)
    await within(pair.coordinator.has_sent.wait())
    await asyncio.sleep(0.06)
    assert not pair.member.sends
    pair.coordinator.answer_targets()
    assert (await asked).status == 200


async def test_caller_that_leaves_cancels_at_the_targets(pair: Pair) -> None:
    """Targets must not work for a caller that has left."""
    asked = await ask(pair)
    await within(pair.coordinator.has_sent.wait())
    asked.cancel()
    await asyncio.sleep(0.1)
    sent = {send.send_id for send in pair.coordinator.sends}
    assert set(pair.coordinator.cancelled) == sent


def _stop(pair: Pair) -> None:
    pair.coordinator.is_stopping = True


def _change_version(pair: Pair) -> None:
    pair.coordinator.gateway.dispatch(ConfigurationChanged(configuration(2)))


def _refuse_connections(pair: Pair) -> None:
    pair.use(1)


@pytest.mark.parametrize(
    'prepare', [_stop, _change_version, _refuse_connections]
)
async def test_member_sends_what_was_declined(
    pair: Pair, prepare: Callable[[Pair], None]
) -> None:
    """A coordinator that stops, has another version of the configuration or is
    gone costs the query a round trip, and it counts as not sent.
    """
    prepare(pair)
    asked = await ask(pair)
    await within(pair.member.has_sent.wait())
    assert len(pair.member.sends) == len(SHARDS)
    assert not pair.coordinator.sends
    pair.member.answer_targets()
    assert (await asked).status == 200


async def test_silent_coordinator(pair: Pair) -> None:
    """A frozen coordinator accepts connections and never answers."""

    async def stay_silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    silent = await asyncio.start_server(stay_silent, '127.0.0.1', 0)
    pair.use(silent.sockets[0].getsockname()[1])
    asked = await ask(pair)
    await within(pair.member.has_sent.wait(), 0.5)
    pair.member.answer_targets()
    assert (await asked).status == 200
    silent.close()


async def test_reused_address_is_not_believed(pair: Pair) -> None:
    """Another process may have got the address of a former coordinator."""
    foreign = await serve_neighbours(('127.0.0.1', 0), not_found, not_found)
    pair.use(foreign.sockets[0].getsockname()[1])
    asked = await ask(pair)
    await within(pair.member.has_sent.wait())
    pair.member.answer_targets()
    assert (await asked).status == 200
    foreign.close()


async def test_terms_of_a_caller_are_ignored(pair: Pair) -> None:
    """A caller that sends the headers between VMs changes nothing."""
    asked_for = query()
    spoofed = (*asked_for.header_items, (b'nutmegstep-config-version', b'9'))
    request = HttpRequest(
        'GET', '/sweep/x', {}, asked_for.headers, b'', b'/sweep/x', spoofed
    )
    asked = asyncio.create_task(pair.member.gateway.handle(request))
    await within(pair.coordinator.has_sent.wait())
    pair.coordinator.answer_targets()
    assert (await asked).status == 200
