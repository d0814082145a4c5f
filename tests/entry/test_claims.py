"""Tests of one-shot requests at two entry processes over loopback sockets."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any

import pytest
from returns.pipeline import is_successful

from nutmegstep.claims import ClaimPhase, ClaimStatus
from nutmegstep.clock import SystemClock
from nutmegstep.declarations import encode_catalogue, encode_fleet
from nutmegstep.engine.events import DrainStarted, TargetReportedWarm
from nutmegstep.entry.claims import _claim_status_of, claim_report
from nutmegstep.entry.core import _EntryProcess, _stop
from nutmegstep.model import (
    Answer,
    CoverageRule,
    Fleet,
    IndexVersion,
    LackingShard,
    OneShotRequest,
    Service,
    Shard,
    Target,
    WorkClass,
)
from nutmegstep.platform_api import ObjectClient
from nutmegstep.settings import Settings
from nutmegstep.standins import TargetSettings, TargetStandIn, serve_target
from nutmegstep.standins.platform import Outage, PlatformStandIn
from nutmegstep.verdict import Reason, Verdict
from nutmegstep.web import serve_http
from tests.claims.fakes import make_key

_HOST = '127.0.0.1'


class _Bench:
    """A stand-in platform, one stand-in target and the parts of two entry VMs."""

    def __init__(self) -> None:
        self.platform = PlatformStandIn()
        held = {41: frozenset('a')}
        self.target = TargetStandIn(TargetSettings('t'), Random(1), held)
        self.entries: list[_EntryProcess] = []
        self._servers: list[Any] = []
        self._numbers = iter(range(100))

    async def start(self) -> None:
        """Start all parts; both entry VMs know the target as warm."""
        served, _ = await serve_target(self.target, _HOST)
        platform = await serve_http(self.platform.handle, _HOST, 0)
        self._servers.extend((served, platform))
        address = (_HOST, _port(platform))
        client = ObjectClient(*address)
        await client.put('config/fleet', encode_fleet(_fleet(_port(served))))
        version = IndexVersion(41, {'a': Shard('a', 'all', ('t',))})
        await client.put('indexes/records', encode_catalogue((version,)))
        client.close()
        seeds: tuple[str, ...] = ()
        for name in ('vm-1', 'vm-2'):
            settings = Settings(
                platform=address,
                failure_domain='d1',
                vm_name=name,
                seeds=seeds,
            )
            entry = _EntryProcess(settings)
            self.entries.append(entry)
            seeds = (await entry.plane.start(),)
            entry.runtime.dispatch(TargetReportedWarm('t', self.target.boot_id))
        for entry in self.entries:
            await _until_peer_is_known(entry)

    def request(self, seconds: float = 5) -> OneShotRequest:
        """Return a request with a new key."""
        number = next(self._numbers)
        return OneShotRequest(
            f'r{number}',
            'desk',
            'record',
            make_key(SystemClock(), Random(number)),
            b'{"amount": 1}',
            SystemClock().monotonic() + seconds,
        )

    async def stop(self) -> None:
        """Stop the entry processes as `serve` does, then the stand-ins."""
        for entry in self.entries:
            await _stop(entry)
        for server in self._servers:
            server.close()


@pytest.fixture
async def bench() -> AsyncIterator[_Bench]:
    """Return a running bench."""
    started = _Bench()
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


def _port(server: Any) -> int:
    return int(server.sockets[0].getsockname()[1])


def _fleet(port: int) -> Fleet:
    service = Service(
        'desk',
        'records',
        ('all',),
        WorkClass.INTERACTIVE,
        CoverageRule.WHOLE,
        timedelta(seconds=10),
    )
    target = Target('t', _HOST, port, 'd1', 3, 1, 30)
    return Fleet(1, {'desk': service}, {'t': target}, 2, {'d1': 1})


async def _until_peer_is_known(entry: _EntryProcess) -> None:
    async with asyncio.timeout(30):
        while not entry.plane.state.membership.members_by_name:
            await asyncio.sleep(0.01)


async def test_repeat_at_other_vm_gets_same_answer(bench: _Bench) -> None:
    """Guards against a second run, and against answers that differ.

    A caller may repeat a request at another VM while the first attempt runs or
    after it has ended; the answer must then come from the claimer.
    """
    first, second = bench.entries
    bench.target.faults.late_seconds = 0.2
    request = bench.request()
    replies = await asyncio.gather(
        first.runtime.execute(request),
        second.runtime.execute(replace(request, request_id='again')),
    )
    replies.append(await second.runtime.execute(request))
    answers = [reply.unwrap() for reply in replies]
    assert answers[1:] == answers[:1] * 2
    assert bench.target.counts.executed == 1


async def test_send_without_answer_may_have_run(bench: _Bench) -> None:
    """Guards against a second run after a send without an answer.

    The target closes the connection without an answer, so the claimer does not
    know whether the request ran, and every repeat must be refused.
    """
    first, second = bench.entries
    bench.target.faults.resets_after = 1
    request = bench.request()
    verdicts = []
    for entry in (first, second, first):
        refusal = (await entry.runtime.execute(request)).failure()
        verdicts.append((refusal.verdict, refusal.attempt_verdict))
    unsent = (Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN)
    sent = (Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN)
    assert verdicts == [sent, unsent, unsent]
    assert bench.target.counts.executed == 1


async def test_abandoned_claim_runs_at_other_vm(bench: _Bench) -> None:
    """Guards against a key that stays blocked although nothing ran.

    The draining target refuses the request of the first VM, which abandons the
    claim. A repeat at the second VM must then run.
    """
    first, second = bench.entries
    bench.target.faults.draining = True
    request = bench.request()
    refusal = (await first.runtime.execute(request)).failure()
    assert refusal.verdict is Verdict.NOT_RUN
    bench.target.faults.draining = False
    for _ in range(50):
        # The age of the abandonment excludes the time in transit. A repeat
        # within that time may seem older than the abandonment and is refused.
        reply = await second.runtime.execute(request)
        if is_successful(reply):
            break
        assert reply.failure().attempt_verdict is Verdict.NOT_RUN
    assert is_successful(reply)
    assert bench.target.counts.executed == 1


async def test_repeat_after_claimer_stopped_may_have_run(bench: _Bench) -> None:
    """Guards against a second run when the claimer cannot be reached."""
    first, second = bench.entries
    request = bench.request()
    assert is_successful(await first.runtime.execute(request))
    await _stop(first)
    refusal = (await second.runtime.execute(request)).failure()
    assert refusal.reason is Reason.ALREADY_CLAIMED
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    bench.entries.remove(first)


async def test_deadline_and_drain_during_platform_outage(
    bench: _Bench,
) -> None:
    """Guards against requests that wait for ever, and drains that never end.

    The platform accepts calls but does not answer. Requests must be refused at
    their deadline, and no claim may keep a drain from finishing.
    """
    entry = bench.entries[0]
    bench.platform.faults.outage = Outage.SILENT
    expiring = [
        asyncio.create_task(entry.runtime.execute(bench.request(0.1)))
        for _ in range(3)
    ]
    disconnected = asyncio.create_task(entry.runtime.execute(bench.request()))
    for reply in await asyncio.gather(*expiring):
        assert reply.failure().reason is Reason.DEADLINE_EXCEEDED
        assert reply.failure().attempt_verdict is Verdict.NOT_RUN
    disconnected.cancel()
    await asyncio.gather(disconnected, return_exceptions=True)
    entry.runtime.dispatch(DrainStarted())
    async with asyncio.timeout(30):
        await entry.runtime.drained.wait()
    assert not bench.target.counts.requests


@pytest.mark.parametrize(
    'status',
    [
        ClaimStatus(ClaimPhase.UNKNOWN),
        ClaimStatus(ClaimPhase.RUNNING),
        ClaimStatus(ClaimPhase.MAY_HAVE_RUN),
        ClaimStatus(ClaimPhase.FINISHED),
        ClaimStatus(ClaimPhase.ABANDONED, abandoned_age_s=1.5),
        ClaimStatus(
            ClaimPhase.FINISHED,
            Answer(
                'desk',
                4,
                ('a',),
                (LackingShard('b', 'reset'),),
                {'a': b'{"n": 12345678901234567890123, "e": 1E2, "t": "\xff"}'},
            ),
        ),
    ],
    ids=lambda status: status.phase.value,
)
def test_claim_status_round_trip(status: ClaimStatus) -> None:
    """Guards against a claim state that changes on the way to another VM.

    A repeat there would get another answer or verdict than at the claimer.
    """
    assert _claim_status_of(claim_report(status)) == status
