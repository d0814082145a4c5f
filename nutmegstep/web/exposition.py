"""HTTP response with the metrics of a process."""

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    generate_latest,
)

from nutmegstep.web.messages import HttpResponse

__all__ = ['expose_metrics']


def expose_metrics(registry: CollectorRegistry) -> HttpResponse:
    """Return all metrics of a registry in the Prometheus text format."""
    return HttpResponse(
        200,
        generate_latest(registry),
        content_type=CONTENT_TYPE_LATEST,
    )
