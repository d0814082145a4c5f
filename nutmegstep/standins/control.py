"""HTTP endpoint through which tests inject faults into target stand-ins."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, fields
from types import MappingProxyType
from typing import Any, Final

import orjson

from nutmegstep.standins.faults import apply_faults
from nutmegstep.standins.target import TargetCounts, TargetStandIn
from nutmegstep.standins.target_server import OpenConnections
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['ServedTarget', 'control_handler']


@dataclass(frozen=True, slots=True)
class ServedTarget:
    """A target stand-in and the connections that its server has open."""

    target: TargetStandIn
    connections: OpenConnections


def control_handler(
    served_by_name: Mapping[str, ServedTarget],
) -> Callable[[HttpRequest], Awaitable[HttpResponse]]:
    """Return the handler of the control endpoint.

    ``GET /targets`` returns the counters and the state of each target by
    name. ``POST /<action>`` performs an action on the targets that the JSON
    body lists under ``targets``; names of targets in other processes are
    ignored. The further members of the body depend on the action:

    ``faults``
        Attributes of `TargetFaults` and their new values.
    ``cold``
        Makes the targets cold. With ``restarted`` true they also get a new
        boot identifier and lose their connections.
    ``silence``
        Stops answering on open connections; ``count`` limits how many of
        each target (default: all).
    ``versions``
        ``shards_by_version``: names of the shards held of each index version.

    Parameters
    ----------
    served_by_name : Mapping
        Targets of this process by name.

    Returns
    -------
    Callable
        Coroutine function from `HttpRequest` to `HttpResponse`.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.method == 'GET':
            return HttpResponse(
                200, orjson.dumps(_describe_targets(served_by_name))
            )
        action = _ACTIONS_BY_PATH.get(request.path)
        if action is None:
            return HttpResponse(404, b'{}')
        document = orjson.loads(request.body)
        names = set(document.pop('targets'))
        for name in names.intersection(served_by_name):
            action(served_by_name[name], document)
        return HttpResponse(200, b'{}')

    return handle


def _describe_targets(
    served_by_name: Mapping[str, ServedTarget],
) -> dict[str, Any]:
    return {
        name: {
            **_counts(served.target.counts),
            'cold': served.target.cold,
            'cold_slots': served.target.settings.cold_slots,
            'connections': len(served.connections.established),
        }
        for name, served in served_by_name.items()
    }


def _counts(counts: TargetCounts) -> dict[str, Any]:
    # `dataclasses.asdict` rebuilds the Counter from its pairs, which makes
    # the pairs its keys; orjson cannot encode these.
    return {
        counter.name: getattr(counts, counter.name)
        for counter in fields(counts)
    }


def _set_faults(served: ServedTarget, document: dict[str, Any]) -> None:
    apply_faults(served.target.faults, document)


def _turn_cold(served: ServedTarget, document: dict[str, Any]) -> None:
    restarted = document.get('restarted', False)
    served.target.turn_cold(restarted=restarted)
    if restarted:
        served.connections.abort_all()


def _silence(served: ServedTarget, document: dict[str, Any]) -> None:
    served.connections.silence(document.get('count'))


def _set_versions(served: ServedTarget, document: dict[str, Any]) -> None:
    served.target.shards_by_version = {
        int(version): frozenset(shards)
        for version, shards in document['shards_by_version'].items()
    }


_Action = Callable[[ServedTarget, dict[str, Any]], None]

_ACTIONS_BY_PATH: Final[Mapping[str, _Action]] = MappingProxyType(
    {
        '/faults': _set_faults,
        '/cold': _turn_cold,
        '/silence': _silence,
        '/versions': _set_versions,
    },
)
