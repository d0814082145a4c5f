"""HTTP/1.1 server over h11, shared by every port that is served."""

from nutmegstep.web.core import HttpServer, serve_http
from nutmegstep.web.messages import (
    EarlyCheck,
    ErrorResponse,
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    PreparedReply,
    RequestHead,
)

__all__ = [
    'EarlyCheck',
    'ErrorResponse',
    'Handler',
    'HttpLimits',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'PreparedReply',
    'RequestHead',
    'serve_http',
]
