"""HTTP server for the neighbours, the other VMs of the failure domain.

They read the store through this VM if it is a relay, and delegate queries to it
if it is a coordinator.
"""

from functools import partial
from typing import Final

from nutmegstep.gateway.delegation import is_delegated
from nutmegstep.web import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    serve_http,
)

__all__ = ['serve_neighbours']

_LIMITS: Final = HttpLimits(
    head_bytes=64 * 1024,
    body_bytes=2**20,
    connections=2000,
    cancels_half_closed=True,
)
"""Limits on neighbours. Sizes are larger than the usual limits on callers, since
requests of all sizes are passed on, with additional headers. A delegated query is
cancelled when its sender closes the connection."""


async def serve_neighbours(
    address: tuple[str, int],
    answer_delegated: Handler,
    answer_relay: Handler,
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
    """
    answer = partial(_answer, answer_delegated, answer_relay)
    return await serve_http(answer, *address, _LIMITS)


async def _answer(
    answer_delegated: Handler,
    answer_relay: Handler,
    request: HttpRequest,
) -> HttpResponse:
    if is_delegated(request):
        return await answer_delegated(request)
    return await answer_relay(request)
