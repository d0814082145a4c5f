"""Scenario: one failure domain leaves and returns under a steady load."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from typing import Final

from nutmegstep.measure.bench import SIDES, Bench, Phase, measure_phase
from nutmegstep.measure.load import LoadResult, run_open_loop
from nutmegstep.standins.deployments import target_settings

__all__ = ['withdrawal']

#: Number of the failure domain that leaves.
DOMAIN: Final = 3
#: Bound of the design page for the end of new work after the command.
BOUND_SECONDS: Final = 5
_SAMPLE_SECONDS: Final = 0.25
_REPLY_SECONDS: Final = 10
_POLL_SECONDS: Final = 0.02


async def withdrawal(bench: Bench) -> AsyncIterator[Phase]:
    """Measure before, during and after the absence of a failure domain.

    Callers leave the entry processes of the domain at once, as behind a load
    balancer. The operators' command runs for the product; the targets of the
    domain drain when the bound for the end of new work has passed.
    """
    for side in SIDES:
        # The first queries pay for connections, which is not the subject.
        await _load(bench, side)
        yield await measure_phase(bench, side, 'before', _load(bench, side))
        yield await _leave_and_return(bench, side)
        yield await measure_phase(bench, side, 'restored', _load(bench, side))


async def _leave_and_return(bench: Bench, side: str) -> Phase:
    ordered = side == 'product' and await _order(bench, 'withdraw')
    drain = asyncio.create_task(_drain_later(bench, ordered=ordered))
    load = _load(bench, side, DOMAIN)
    name = 'withdrawn' if ordered else 'drained'
    phase = await measure_phase(bench, side, name, load)
    await drain
    await bench.control.switch('faults', _targets(bench), draining=False)
    if ordered:
        await _order(bench, 'restore')
    return phase


def _load(
    bench: Bench,
    side: str,
    without_domain: int = 0,
) -> Awaitable[LoadResult]:
    generator = bench.generator(side, without_domain=without_domain)
    return run_open_loop(generator, bench.quiet_rate(side), bench.seconds)


async def _order(bench: Bench, command: str) -> bool:
    """Ask the start script for an operator's command; False if it failed."""
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


async def _drain_later(bench: Bench, *, ordered: bool) -> None:
    if ordered:
        await _note_end_of_new_work(bench)
    await bench.control.switch('faults', _targets(bench), draining=True)


async def _note_end_of_new_work(bench: Bench) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    last_change: float = 0
    before = await _requests(bench)
    while loop.time() < started + BOUND_SECONDS:
        await asyncio.sleep(_SAMPLE_SECONDS)
        received = await _requests(bench)
        if received != before:
            last_change = loop.time() - started
        before = received
    bench.notes.append(
        f'withdraw: the last new work at the domain came {last_change:.2f} s '
        f'after the command (bound {BOUND_SECONDS} s, sampled each '
        f'{_SAMPLE_SECONDS} s); no proof of the withdrawal, because callers '
        'had left the entry processes that prefer these targets',
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
