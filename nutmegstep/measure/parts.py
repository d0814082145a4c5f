"""Measures the processor time of refusals, metrics and spans separately."""

import asyncio
import time
from collections.abc import Callable, Iterator
from typing import Final

from nutmegstep.callers import CallerHeadFilter, error_response
from nutmegstep.clock import SystemClock
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import TargetAnswered
from nutmegstep.telemetry import (
    LogSpanExporter,
    Metrics,
    Telemetry,
    build_tracer,
)
from nutmegstep.verdict import Reason
from nutmegstep.web import HttpLimits, HttpRequest, HttpResponse, HttpServer
from nutmegstep.web.connection import ServerConnection

__all__ = ['part_lines']

_REPEATS: Final = 2000
_MICROSECONDS: Final = 1_000_000
_BODY: Final = b'{"text": "q-1"}'
_TRACE: Final = '00-00000000000000000000000000000101-00000000000000a1-0'
_REQUEST: Final = (
    b'POST /v1/services/all-records/query HTTP/1.1\r\nHost: entry\r\n'
    b'X-Request-Id: 1\r\nX-Timeout-Ms: 1000\r\n'
    b'traceparent: %b0\r\nContent-Length: %d\r\n\r\n%b'
) % (_TRACE.encode(), len(_BODY), _BODY)


class _NoTransport(asyncio.Transport):
    """Transport that drops written bytes, so that no system call is measured."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drop the bytes."""

    def is_closing(self) -> bool:
        """Return False, since the connection is never closed."""
        return False

    def is_reading(self) -> bool:
        """Return True, since reading is never paused."""
        return True

    def get_write_buffer_size(self) -> int:
        """Return 0, since written bytes are dropped."""
        return 0

    def resume_reading(self) -> None:
        """Do nothing."""


async def part_lines() -> list[str]:
    """Return a line with the processor time in us for each part."""
    return [
        f'{name}: {microseconds:.1f} us'
        for name, microseconds in _measure_parts()
    ]


def _measure_parts() -> Iterator[tuple[str, float]]:
    yield 'refusal by the head, without the kernel', _refusal()
    yield 'metrics of a target request', _observation('0')
    yield 'metrics and span of a target request', _observation('1')


def _refusal() -> float:
    server = HttpServer(
        _never_called,
        HttpLimits(),
        CallerHeadFilter(
            lambda: True,
            lambda service: Reason.OVERLOADED,
            Metrics(dict).count_early_refusal,
        ).check,
        error_response,
    )
    connection = ServerConnection(server)
    connection.connection_made(_NoTransport())
    return _microseconds(lambda: connection.data_received(_REQUEST))


def _observation(flag: str) -> float:
    tracer = build_tracer(LogSpanExporter(), 0)
    telemetry = Telemetry(tracer, Metrics(dict), SystemClock())
    effect = SendToTarget(
        1,
        1,
        'catalogue-00-0',
        'catalogue-00',
        1,
        _BODY,
        1,
        _TRACE + flag,
    )
    answer = TargetAnswered(1, 1, 'boot', b'{}')

    def observe() -> None:
        telemetry.observe_send(effect, _ignore).report(answer)

    return _microseconds(observe)


def _microseconds(action: Callable[[], None]) -> float:
    started = time.process_time()
    for _ in range(_REPEATS):
        action()
    return (time.process_time() - started) / _REPEATS * _MICROSECONDS


def _ignore(outcome: object) -> None:
    """Ignore the outcome."""


async def _never_called(request: HttpRequest) -> HttpResponse:
    raise AssertionError('the head was not refused')
