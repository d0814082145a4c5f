"""Tests of the load generator against a small server."""

from collections.abc import Callable, Iterable
from random import Random

import orjson

from nutmegstep.measure import (
    Generator,
    LoadResult,
    run_closed_loop,
    run_open_loop,
)
from nutmegstep.measure.connection import CallerPool, EntryAddress
from nutmegstep.web import HttpRequest, HttpResponse, serve_http


def _answer(request: HttpRequest) -> HttpResponse:
    document = {
        'request_id': request.headers['x-request-id'],
        'index_version': 4,
        'complete': True,
        'covered': [],
        'lacking': [],
        'results': {},
    }
    return HttpResponse(200, orjson.dumps(document))


def _refuse(request: HttpRequest) -> HttpResponse:
    return HttpResponse(503, b'{"reason": "overloaded"}')


async def _generator(
    answers: Iterable[Callable[[HttpRequest], HttpResponse]],
) -> tuple[Generator, list[str]]:
    traces: list[str] = []
    following = iter(answers)

    async def handle(request: HttpRequest) -> HttpResponse:
        traces.append(request.headers['traceparent'])
        return next(following, _answer)(request)

    server = await serve_http(handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    pool = CallerPool(EntryAddress('127.0.0.1', port, 2, 0))
    return Generator((pool,), {4: frozenset()}, Random(1)), traces


async def test_open_loop_counts_each_arrival_once() -> None:
    """Guards against lost or double-counted queries in the open loop."""
    generator, traces = await _generator((_answer,))
    result = await run_open_loop(generator, 200, 0.1)
    assert result.whole > 0
    assert result.whole == len(traces)
    assert result.latency.get_total_count() == result.whole
    assert not result.incorrect_by_fault
    assert {trace[33:35] for trace in traces} == {'02'}


async def test_refused_caller_retries_until_answer_is_whole() -> None:
    """Guards against an overload scenario whose callers do not retry.

    A caller that is refused sends its query again until it gets a whole
    answer; without that the overload scenario would offer too little load.
    """
    generator, traces = await _generator((_refuse, _refuse))
    result = await run_open_loop(generator, 200, 0.1, retry_seconds=5)
    assert result.refused_by_reason == {'overloaded': 2}
    # A caller that is cut off may have had one more request in flight.
    unanswered = len(traces) - result.attempts
    assert 0 <= unanswered <= result.cut_off
    assert result.whole > 0
    assert result.given_up == 0


async def test_results_of_parts_of_a_load_add_up() -> None:
    """Guards against dropping counts when parts of a load are added up.

    The warm-up runs a load in short windows and adds up their results.
    """
    generator, _ = await _generator((_refuse,))
    total = LoadResult()
    for _ in range(2):
        total.add(await run_open_loop(generator, 200, 0.1))
    assert total.refused_by_reason == {'overloaded': 1}
    assert total.whole > 0
    assert total.latency.get_total_count() == total.whole
    generator.remove_domain(2)
    assert not generator.pools


async def test_closed_loop_keeps_connections() -> None:
    """Guards against a new connection for each query in the closed loop.

    Setting up the connections would then hide the cost of the queries.
    """
    generator, _ = await _generator((_answer,))
    result = await run_closed_loop(generator, 2, 0.05)
    assert result.whole > 2
    assert len(generator.pools[0].idle) <= 2
