"""HTTP server for the neighbours, the other VMs of the failure domain.

They read the store through this VM if it is a relay, and delegate queries to it
if it is a coordinator.
"""

from dataclasses import replace
from functools import partial
from typing import Final

from nutmegstep.gateway.delegation import is_delegated
from nutmegstep.gateway.peer_limits import (
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    PeerLimits,
)
from nutmegstep.web import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    SharedParts,
    serve_http,
)

__all__ = ['neighbour_limits', 'serve_neighbours']

_LIMITS: Final = HttpLimits(
    head_bytes=64 * 1024,
    body_bytes=2**20,
    cancels_half_closed=True,
    receive_buffer=RECEIVE_BUFFER_BYTES,
    send_buffer=SEND_BUFFER_BYTES,
)
"""Limits on neighbours. Sizes are larger than the usual limits on callers, since
requests of all sizes are passed on, with additional headers. A delegated query is
cancelled when its sender closes the connection."""


def neighbour_limits(peer_limits: PeerLimits) -> HttpLimits:
    """Return the limits on neighbours of a VM."""
    return replace(
        _LIMITS,
        connections=peer_limits.neighbours,
        sockets=peer_limits.neighbour_sockets,
    )


async def serve_neighbours(
    address: tuple[str, int],
    answer_delegated: Handler,
    answer_relay: Handler,
    *,
    limits: HttpLimits = _LIMITS,
    shared: SharedParts | None = None,
) -> HttpServer:
    """Start the server for neighbours.

    Parameters
    ----------
    address : tuple of str and int
        IP address and port to listen on.
    answer_delegated : Handler
        Answers delegated queries.
    answer_relay : Handler
        Answers all other requests.
    limits : HttpLimits, optional
        Limits on neighbours.
    shared : SharedParts, optional
        Parts that the connections share.
    """
    answer = partial(_answer, answer_delegated, answer_relay)
    return await serve_http(answer, *address, limits, shared=shared)


async def _answer(
    answer_delegated: Handler,
    answer_relay: Handler,
    request: HttpRequest,
) -> HttpResponse:
    if is_delegated(request):
        return await answer_delegated(request)
    return await answer_relay(request)
