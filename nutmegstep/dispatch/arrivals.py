"""Handles requests that arrive: finds the route, refuses or sends them."""

import math
from datetime import timedelta
from typing import Final

from nutmegstep.configuration import Route, match_route
from nutmegstep.dispatch.account_limits import serve_within_limit
from nutmegstep.dispatch.declining import decline_if_unsuitable
from nutmegstep.dispatch.effects import (
    Decision,
    DeliverRefusal,
    Effect,
)
from nutmegstep.dispatch.events import RequestArrived, RoutedRequest
from nutmegstep.dispatch.identification import (
    Identified,
    identify,
    refuse_unidentified,
)
from nutmegstep.dispatch.requests import OpenRequest, Part
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = ['handle_arrival']

_NOT_READY_RETRY_AFTER: Final = timedelta(milliseconds=30)
"""Time after which a caller is asked to retry while this VM is starting; short,
as another VM is likely to serve the request at once."""
_ANSWER_MARGIN_SECONDS: Final = 0.014
"""Part of a route's target latency that is reserved for the network between
caller and VM and for the encoding of the answer."""
_CONNECT_MARGIN_SECONDS: Final = 0.006
"""Reserved in addition for the first request of a connection, as the caller has
spent time on connecting."""
_DEADLINE_MARGIN_SECONDS: Final = 0.01
"""Time before the caller's deadline at which the final answer is sent."""
_ROUNDING_TOLERANCE: Final = 1e-9
"""Keeps rounding errors from making the ceiling of a floating-point product,
such as 0.75 * 4, one too high."""


def handle_arrival(
    state: DispatchState,
    event: RequestArrived,
    now: float,
) -> list[Effect]:
    """Delegate a request, send it to the targets of its route, or refuse it.

    It is refused if this VM is not ready, if no route matches, if it lacks the key
    of an account, if it has crashed too many targets, if this VM stops too soon, or
    if too few shards have a usable target for an answer.
    """
    request = event.request
    declined = decline_if_unsuitable(state, request, now)
    if declined:
        return declined
    configuration = state.configuration
    if configuration is None or not state.is_ready or now < state.refresh_until:
        return _refuse_not_ready(request)
    route = match_route(configuration, request.host, request.path)
    if route is None:
        return _refuse(
            request,
            refuse(Verdict.NOT_RUN, Reason.UNKNOWN_ROUTE, 'no route matches'),
            {'config_version': configuration.version},
        )
    identified = identify(configuration, request, route)
    if identified is None:
        return refuse_unidentified(state, request, now)
    open_request = _open(state, identified, route)
    state.open_by_id[request.request_id] = open_request
    return serve_within_limit(state, open_request, now)


def _open(
    state: DispatchState,
    identified: Identified,
    route: Route,
) -> OpenRequest:
    request = identified.request
    timeout = route.timeout.total_seconds()
    time_left = timeout if request.time_left is None else request.time_left
    services = route.shards or (_pick_destination(state, route),)
    earlier = request.delegated.possible_runs if request.delegated else 0
    return OpenRequest(
        request,
        route,
        tuple(Part(service, possible_runs=earlier) for service in services),
        partial_answer_at=request.arrived_at
        + _partial_answer_in(request, route),
        deadline=min(
            request.arrived_at
            + max(0, min(timeout, time_left) - _DEADLINE_MARGIN_SECONDS),
            state.stops_at,
        ),
        required=_required_parts(route, len(services)),
        account=identified.account,
    )


def _partial_answer_in(request: RoutedRequest, route: Route) -> float:
    """Return the time in seconds from arrival until a partial answer is due."""
    if request.delegated is not None:
        return request.delegated.partial_answer_in
    margin = _ANSWER_MARGIN_SECONDS
    if request.is_first_on_connection:
        margin += _CONNECT_MARGIN_SECONDS
    return route.target_latency.total_seconds() - margin


def _required_parts(route: Route, parts: int) -> int:
    return max(
        1, math.ceil(route.required_coverage * parts - _ROUNDING_TOLERANCE)
    )


def _pick_destination(state: DispatchState, route: Route) -> str:
    # Smooth weighted round robin: on each request the credit of every
    # destination grows by its weight, and the destination with the largest
    # credit is chosen and loses the sum of the weights.
    if len(route.destinations) == 1:
        return route.destinations[0].service
    credits = state.split_credits_by_route.setdefault(route.name, {})
    total = math.fsum(one.weight for one in route.destinations)
    for destination in route.destinations:
        earned = credits.get(destination.service, 0) + destination.weight
        credits[destination.service] = earned
    names = [one.service for one in route.destinations if one.weight > 0]
    chosen = max(names, key=lambda name: credits.get(name, 0))
    credits[chosen] -= total
    return chosen


def _refuse_not_ready(request: RoutedRequest) -> list[Effect]:
    refusal = refuse(
        Verdict.NOT_RUN,
        Reason.NO_CONFIGURATION,
        'this VM has not read the configuration and the targets yet',
        retry_after=_NOT_READY_RETRY_AFTER,
    )
    return _refuse(request, refusal, {})


def _refuse(
    request: RoutedRequest,
    refusal: Refusal,
    inputs: dict[str, object],
) -> list[Effect]:
    inputs['reason'] = refusal.reason.value
    inputs['host'] = request.host
    return [
        Decision('refused', request.attempt_id, inputs),
        DeliverRefusal(request.request_id, refusal),
    ]
