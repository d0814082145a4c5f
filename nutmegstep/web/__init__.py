"""HTTP/1.1 server on top of h11, used for every port of the project."""

from nutmegstep.web.core import HttpServer, serve_http
from nutmegstep.web.messages import (
    EncodedResponse,
    ErrorResponseBuilder,
    Handler,
    HeadFilter,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    RequestHead,
)

__all__ = [
    'EncodedResponse',
    'ErrorResponseBuilder',
    'Handler',
    'HeadFilter',
    'HttpLimits',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'RequestHead',
    'serve_http',
]
