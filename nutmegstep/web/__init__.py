"""HTTP/1.1 server over h11, shared by every port that is served."""

from nutmegstep.web.core import HttpServer, serve_http
from nutmegstep.web.messages import (
    EncodedResponse,
    ErrorResponse,
    Handler,
    HeadFilter,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    RequestHead,
)

__all__ = [
    'EncodedResponse',
    'ErrorResponse',
    'Handler',
    'HeadFilter',
    'HttpLimits',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'RequestHead',
    'serve_http',
]
