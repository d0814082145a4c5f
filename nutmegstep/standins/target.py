"""Stand-in for a target."""

import asyncio
from random import Random

import orjson

from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['TargetStandIn']

_MILLISECONDS = 1000


class TargetStandIn:
    """Answers shard requests after a random service time.

    Parameters
    ----------
    name : str
        Name of the target, part of the answer.
    slots : int
        Requests executed at the same time; others wait.
    mean_ms : float
        Mean service time in milliseconds.
    random : random.Random
        Source of the service times.
    versions : tuple of int
        Index versions that the target holds.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        mean_ms: float,
        random: Random,
        versions: tuple[int, ...],
    ) -> None:
        self.versions = versions
        self._name = name
        self._slots = asyncio.Semaphore(slots)
        self._mean = mean_ms / _MILLISECONDS
        self._random = random
        self._boot_id = f'{name}-{random.getrandbits(32):08x}'

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one shard request."""
        version = int(request.headers.get('index-version', '0'))
        echo = (
            ('X-Request-Id', request.headers.get('x-request-id', '')),
            ('X-Boot-Id', self._boot_id),
        )
        if version not in self.versions:
            held = ','.join(str(known) for known in self.versions)
            return HttpResponse(409, b'', (*echo, ('Index-Versions', held)))
        async with self._slots:
            await asyncio.sleep(self._random.gammavariate(4, self._mean / 4))
        document = {'target': self._name, 'shard': request.path.split('/')[-1]}
        return HttpResponse(
            200,
            orjson.dumps(document),
            (*echo, ('Index-Version', str(version))),
        )
