"""HTTP server for operators with metrics and a liveness check."""

from nutmegstep.telemetry.metrics import Metrics
from nutmegstep.web import HttpRequest, HttpResponse, HttpServer, serve_http
from nutmegstep.web.exposition import expose_metrics

__all__ = ['serve_operators']


async def serve_operators(
    metrics: Metrics,
    host: str,
    port: int,
) -> HttpServer:
    """Start a server for ``/metrics`` and ``/live``.

    Parameters
    ----------
    metrics : Metrics
        Metrics that ``/metrics`` returns.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 lets the kernel choose.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path == '/live':
            return HttpResponse(200, b'{"live":true}')
        if request.path != '/metrics':
            return HttpResponse(404, b'{}')
        return expose_metrics(metrics.registry)

    return await serve_http(handle, host, port)
