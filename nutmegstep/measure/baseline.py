"""Plain scatter that the product is compared with, as an entry process."""

import argparse
import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import orjson

from nutmegstep.clock import Clock, SystemClock
from nutmegstep.declarations import decode_catalogue, decode_fleet
from nutmegstep.engine.effects import SendToTarget
from nutmegstep.engine.events import TargetAnswered, TargetFailed
from nutmegstep.model import Fleet, IndexVersion, Shard
from nutmegstep.platform_api import ObjectClient
from nutmegstep.targets import TargetPool
from nutmegstep.web import HttpRequest, HttpResponse, serve_http

__all__ = ['Baseline', 'baseline_handler', 'main']

#: How long a target counts as unhealthy after a failure.
UNHEALTHY_SECONDS: Final = 1
_DEFAULT_TIMEOUT_MS: Final = '1000'
_MILLISECONDS: Final = 1000
_STATUS_OK: Final = 200
_STATUS_UNAVAILABLE: Final = 503


@dataclass(slots=True)
class Baseline:
    """No hedging, no admission, first healthy replica."""

    clock: Clock
    pool: TargetPool
    fleet: Fleet
    version: IndexVersion
    failed_at_by_target: dict[str, float] = field(default_factory=dict)
    attempt_ids: Iterable[int] = field(
        default_factory=lambda: itertools.count(1),
    )


def baseline_handler(
    baseline: Baseline,
) -> Callable[[HttpRequest], Awaitable[HttpResponse]]:
    """Return the handler of callers' queries over all shards."""

    async def handle(request: HttpRequest) -> HttpResponse:
        timeout = request.headers.get('x-timeout-ms', _DEFAULT_TIMEOUT_MS)
        now = baseline.clock.monotonic()
        deadline = now + int(timeout) / _MILLISECONDS
        shards = baseline.version.shards_by_name
        found = await asyncio.gather(
            *(
                _ask_shard(baseline, request, shard, deadline)
                for shard in shards.values()
            ),
        )
        found_by_shard = dict(zip(shards, found, strict=True))
        return _respond(baseline, request, found_by_shard)

    return handle


async def _ask_shard(
    baseline: Baseline,
    request: HttpRequest,
    shard: Shard,
    deadline: float,
) -> bytes | None:
    for name in _by_health(baseline, shard):
        outcome = await _attempt(baseline, request, shard, name, deadline)
        if isinstance(outcome, TargetAnswered):
            return outcome.body
        baseline.failed_at_by_target[name] = baseline.clock.monotonic()
        if outcome is None:
            return None
    return None


def _by_health(baseline: Baseline, shard: Shard) -> list[str]:
    since = baseline.clock.monotonic() - UNHEALTHY_SECONDS
    return sorted(
        shard.replicas,
        key=lambda name: baseline.failed_at_by_target.get(name, 0) > since,
    )


async def _attempt(
    baseline: Baseline,
    request: HttpRequest,
    shard: Shard,
    name: str,
    deadline: float,
) -> TargetAnswered | TargetFailed | None:
    outcome: asyncio.Future[TargetAnswered | TargetFailed] = (
        asyncio.get_running_loop().create_future()
    )
    target = baseline.fleet.targets_by_name[name]
    limit = target.connections // (2 * baseline.fleet.entry_vms_max)
    attempt_id = next(iter(baseline.attempt_ids))
    effect = SendToTarget(
        attempt_id,
        0,
        name,
        shard.name,
        baseline.version.number,
        request.body,
        deadline,
        request.headers.get('traceparent', ''),
    )
    baseline.pool.send(effect, target, max(1, limit), outcome.set_result)
    left = deadline - baseline.clock.monotonic()
    done, _ = await asyncio.wait((outcome,), timeout=max(0, left))
    if done:
        return outcome.result()
    baseline.pool.cancel(attempt_id)
    return None


def _respond(
    baseline: Baseline,
    request: HttpRequest,
    found_by_shard: dict[str, bytes | None],
) -> HttpResponse:
    lacking = [
        shard for shard, found in found_by_shard.items() if found is None
    ]
    document = {
        'request_id': request.headers.get('x-request-id', ''),
        'index_version': baseline.version.number,
        'complete': not lacking,
        'covered': [shard for shard in found_by_shard if shard not in lacking],
        'lacking': [{'shard': shard, 'reason': 'failed'} for shard in lacking],
        'results': {
            shard: orjson.Fragment(found)
            for shard, found in found_by_shard.items()
            if found is not None
        },
        'reason': 'incomplete',
    }
    status = _STATUS_UNAVAILABLE if lacking else _STATUS_OK
    return HttpResponse(status, orjson.dumps(document))


async def _serve(arguments: argparse.Namespace) -> None:
    host, port = arguments.platform.rsplit(':', 1)
    platform = ObjectClient(host, int(port))
    configuration = (await platform.get('config/fleet')).unwrap()
    stored = (await platform.get('indexes/records')).unwrap()
    platform.close()
    fleet = decode_fleet(configuration.document)
    clock = SystemClock()
    baseline = Baseline(
        clock,
        TargetPool(clock),
        fleet,
        decode_catalogue(stored.document)[-1],
    )
    server = await serve_http(baseline_handler(baseline), arguments.host, 0)
    chosen = server.sockets[0].getsockname()[1]
    arguments.port_file.write_text(f'{arguments.host}:{chosen}')
    await asyncio.Event().wait()


def main() -> None:
    """Parse the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--platform', required=True)
    parser.add_argument('--port-file', type=Path, required=True)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == '__main__':
    main()
