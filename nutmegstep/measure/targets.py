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
    """Counts of requests and connections, summed over targets.

    Parameters
    ----------
    requests : int
        Number of requests received.
    executed : int
        Number of requests executed.
    shed : int
        Number of requests rejected because of overload.
    ended_early : int
        Number of running requests whose sender closed the connection.
    refused_connections : int
        Number of connections refused.
    """

    requests: int
    executed: int
    shed: int
    ended_early: int
    refused_connections: int


@dataclass(frozen=True, slots=True)
class TargetControl:
    """Client of all control endpoints.

    Parameters
    ----------
    addresses : Sequence of str
        Host and port of each process with target stand-ins.
    """

    addresses: Sequence[str]

    async def counts(self) -> dict[str, dict[str, Any]]:
        """Return the counts by target name."""
        counts_by_target: dict[str, dict[str, Any]] = {}
        for address in self.addresses:
            _, body = await request('GET', address, '/targets')
            counts_by_target.update(orjson.loads(body))
        return counts_by_target

    async def totals(self) -> TargetTotals:
        """Return the counts summed over all targets."""
        return _sum((await self.counts()).values())

    async def switch(
        self,
        action: str,
        targets: Iterable[str],
        **options: float,
    ) -> None:
        """Change the state of some targets.

        Parameters
        ----------
        action : str
            Path of the control endpoint, such as ``faults`` or ``cold``.
        targets : Iterable of str
            Names of the targets.
        **options : float
            Fields of the request that depend on the action.

        Raises
        ------
        h11.RemoteProtocolError
            An endpoint answered with another status than 200.
        """
        body = orjson.dumps({'targets': list(targets), **options})
        for address in self.addresses:
            status, _ = await post(address, f'/{action}', body)
            if status != 200:
                raise h11.RemoteProtocolError(
                    f'control endpoint /{action} answered with status {status}'
                )


def _sum(counts: Iterable[Mapping[str, Any]]) -> TargetTotals:
    found = list(counts)
    return TargetTotals(
        sum(count['requests'] for count in found),
        sum(count['executed'] for count in found),
        sum(count['shed'] for count in found),
        sum(count['ended_early'] for count in found),
        sum(count['refused_connections'] for count in found),
    )
