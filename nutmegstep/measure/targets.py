"""Client of the control endpoints of the target stand-ins."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import h11
import orjson

from nutmegstep.demo.client import post, request

__all__ = ['TargetControl', 'TargetTotals']


@dataclass(frozen=True, slots=True)
class TargetTotals:
    """Counts summed over targets."""

    requests: int
    executed: int
    shed: int
    ended_early: int
    refused_connections: int


@dataclass(frozen=True, slots=True)
class TargetControl:
    """Control endpoints, one for each process with target stand-ins."""

    addresses: Sequence[str]

    async def counts(self) -> dict[str, dict[str, Any]]:
        """Return the counts of each target."""
        counts_by_target: dict[str, dict[str, Any]] = {}
        for address in self.addresses:
            _, body = await request('GET', address, '/targets')
            counts_by_target.update(orjson.loads(body))
        return counts_by_target

    async def totals(self) -> TargetTotals:
        """Return the counts of all targets."""
        return _sum((await self.counts()).values())

    async def switch(
        self,
        action: str,
        targets: Iterable[str],
        **options: float,
    ) -> None:
        """Switch faults: `action` is a path of the control endpoint."""
        body = orjson.dumps({'targets': list(targets), **options})
        for address in self.addresses:
            status, _ = await post(address, f'/{action}', body)
            if status != 200:
                raise h11.RemoteProtocolError(f'{action}: status {status}')


def _sum(counts: Iterable[Mapping[str, Any]]) -> TargetTotals:
    found = list(counts)
    return TargetTotals(
        sum(count['requests'] for count in found),
        sum(count['executed'] for count in found),
        sum(count['shed'] for count in found),
        sum(count['ended_early'] for count in found),
        sum(count['refused_connections'] for count in found),
    )
