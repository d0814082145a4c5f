"""Requests that a VM without links passes to another VM."""

import asyncio
from dataclasses import replace

from nutmegstep.platform.wire import CODEC
from nutmegstep.web import HttpResponse
from tests.gateway.pair import Pair, ask, query, within


async def test_order_of_a_vm_without_links_runs_elsewhere(
    pair: Pair,
) -> None:
    """Guards against failing the orders of callers whose VM has lost its links
    to all targets, and against sending one of them twice.
    """
    pair.lose_links()
    asked = await ask(pair, '/order/x')
    await within(pair.coordinator.has_sent.wait())
    pair.coordinator.answer_targets()
    assert (await asked).status == 200
    assert not pair.member.sends
    pair.coordinator.sends.clear()
    pair.coordinator.has_sent.clear()
    asked = await ask(pair, '/order/y')
    await within(pair.coordinator.has_sent.wait())
    # The connection is lost while the order runs.
    pair.member.gateway.close()
    assert (await asked).status == 502
    assert len(pair.coordinator.sends) == 1
    assert not pair.member.sends


async def test_order_of_a_substitute_that_failed_is_not_sent_again(
    pair: Pair,
) -> None:
    """Guards against a second run of an order whose substitute has sent it to a
    target and then failed, which its HTTP server answers with 500.
    """
    pair.lose_links()
    asked = await ask(pair, '/order/x')
    await within(pair.coordinator.has_sent.wait())
    broken = replace(CODEC, write_response=_fail_to_write)
    pair.coordinator.gateway._codec = broken
    pair.coordinator.answer_targets()
    assert (await asked).status == 502
    assert not pair.member.sends
    assert len(pair.coordinator.sends) == 1


def _fail_to_write(*details: object) -> HttpResponse:
    raise ValueError('cannot be written')


async def test_large_request_of_a_vm_without_links_is_passed_on(
    pair: Pair,
) -> None:
    """Guards against refusing the largest requests that callers may send, and
    against blocking a substitute because of their size.
    """
    pair.lose_links()
    body = b'x' * 500_000
    asked = asyncio.create_task(
        pair.member.gateway.handle(query('/order/x', body))
    )
    await within(pair.coordinator.has_sent.wait())
    sent = pair.coordinator.sends[0].request
    assert sent.body == body
    pair.coordinator.answer_targets()
    assert (await asked).status == 200
