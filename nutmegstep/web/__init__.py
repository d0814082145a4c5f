"""HTTP/1.1 server over h11, shared by every port that is served."""

from nutmegstep.web.core import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    serve_http,
)

__all__ = ['HttpLimits', 'HttpRequest', 'HttpResponse', 'serve_http']
