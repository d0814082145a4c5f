"""Scenario in which a failure domain is withdrawn and restored under load."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from typing import Final

from nutmegstep.measure.bench import SIDES, Bench, Phase, measure_phase
from nutmegstep.measure.load import LoadResult, run_open_loop
from nutmegstep.measure.warming import warm_up
from nutmegstep.standins.deployments import target_settings

__all__ = ['withdrawal']

#: Number of the failure domain that is withdrawn.
DOMAIN: Final = 3
#: Bound, from the design page, on the time from the command until no target
#: of the domain receives a new request.
BOUND_SECONDS: Final = 5
#: Time for which callers still use the entry processes of the domain, as
#: behind a load balancer that notices the withdrawal late.
BALANCER_LAG_SECONDS: Final = 5
#: Time for which requests to targets of the domain are counted.
OBSERVED_SECONDS: Final = BOUND_SECONDS + 1
_SAMPLE_SECONDS: Final = 0.1
_REPLY_SECONDS: Final = 10
_POLL_SECONDS: Final = 0.02


async def withdrawal(bench: Bench) -> AsyncIterator[Phase]:
    """Measure before, during and after the withdrawal of a failure domain.

    For the product, the domain is withdrawn by the operators' command, and its
    targets are drained after the time for which requests are counted. For the
    baseline, they are drained at once. In both cases callers use the entry
    processes of the domain for 5 s more.
    """
    for side in SIDES:
        # The first queries also open connections, which must not be measured.
        await _load(bench, side)
        yield await measure_phase(bench, side, 'before', _load(bench, side))
        yield await _withdraw(bench, side)
        async for phase in warm_up(bench, side):
            yield phase
        yield await measure_phase(bench, side, 'restored', _load(bench, side))


async def _withdraw(bench: Bench, side: str) -> Phase:
    commanded = side == 'product' and await _run_command(bench, 'withdraw')
    name = 'withdrawn' if commanded else 'drained'
    drain = asyncio.create_task(_drain(bench, commanded=commanded))
    load = _load_and_remove_domain(bench, side)
    phase = await measure_phase(bench, side, name, load)
    await drain
    await bench.control.switch('faults', _targets(bench), draining=False)
    if commanded:
        await _run_command(bench, 'restore')
    return phase


def _load(bench: Bench, side: str) -> Awaitable[LoadResult]:
    generator = bench.generator(side)
    return run_open_loop(generator, bench.quiet_rate(side), bench.seconds)


async def _load_and_remove_domain(bench: Bench, side: str) -> LoadResult:
    generator = bench.generator(side)
    asyncio.get_running_loop().call_later(
        BALANCER_LAG_SECONDS,
        generator.remove_domain,
        DOMAIN,
    )
    seconds = max(bench.seconds, OBSERVED_SECONDS)
    return await run_open_loop(generator, bench.quiet_rate(side), seconds)


async def _run_command(bench: Bench, command: str) -> bool:
    """Have the start script run a command; return whether it succeeded."""
    request = bench.directory / 'operator.request'
    reply = bench.directory / 'operator.reply'
    reply.unlink(missing_ok=True)
    request.write_text(f'{command} domain-{DOMAIN}\n')
    async with asyncio.timeout(_REPLY_SECONDS):
        while not reply.exists():
            await asyncio.sleep(_POLL_SECONDS)
    succeeded = reply.read_text().strip() == 'done'
    if not succeeded:
        bench.notes.append(
            f'{command}: the command failed or does not exist; '
            'the targets of the domain drain instead',
        )
    return succeeded


async def _drain(bench: Bench, *, commanded: bool) -> None:
    if commanded:
        await _note_last_request(bench)
    await bench.control.switch('faults', _targets(bench), draining=True)


async def _note_last_request(bench: Bench) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    last_change: float = 0
    before = await _requests(bench)
    received = before
    while loop.time() < started + OBSERVED_SECONDS:
        await asyncio.sleep(_SAMPLE_SECONDS)
        now_received = await _requests(bench)
        if now_received != received:
            last_change = loop.time() - started
        received = now_received
    met = 'met' if last_change <= BOUND_SECONDS else 'MISSED'
    bench.notes.append(
        f'withdraw: last new target request in the domain {last_change:.2f} s '
        f'after the return of the command, {received - before} requests in '
        f'all (sampled each {_SAMPLE_SECONDS} s; callers stay for '
        f'{BALANCER_LAG_SECONDS} s; goal at most {BOUND_SECONDS} s): {met}',
    )


async def _requests(bench: Bench) -> int:
    counts_by_target = await bench.control.counts()
    return sum(counts_by_target[name]['requests'] for name in _targets(bench))


def _targets(bench: Bench) -> list[str]:
    return [
        settings.name
        for _, settings in target_settings(bench.deployment)
        if settings.domain == DOMAIN
    ]
