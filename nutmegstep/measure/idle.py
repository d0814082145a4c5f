"""Measures the processor time of entry processes without load."""

import asyncio
from typing import Final

from nutmegstep.measure.bench import SIDES, Bench
from nutmegstep.measure.processes import processor_seconds
from nutmegstep.standins.deployments import INDEX_VERSION, build_version

__all__ = ['note_idle']

_IDLE_SECONDS: Final = 3
_MICROSECONDS: Final = 1_000_000


async def note_idle(bench: Bench) -> None:
    """Add notes with the processor time of each side without load.

    Heartbeats and calls to the platform cost the same with load, so that the
    processor time per target request of other phases includes this share.
    """
    pids_by_side = {
        side: [entry.pid for entry in bench.entries_by_side[side]]
        for side in SIDES
    }
    before = [processor_seconds(pids_by_side[side]) for side in SIDES]
    await asyncio.sleep(_IDLE_SECONDS)
    version = build_version(bench.deployment, INDEX_VERSION)
    for side, started in zip(SIDES, before, strict=True):
        spent = processor_seconds(pids_by_side[side]) - started
        cores = spent / _IDLE_SECONDS
        requests = bench.quiet_rate(side) * len(version.shards_by_name)
        bench.notes.append(
            f'idle, {side}: {cores / len(pids_by_side[side]):.2%} of a core '
            f'for each entry process, {cores / requests * _MICROSECONDS:.0f} '
            'us per target request at the quiet rate',
        )
