"""HTTP/1.1 server on top of h11, used for every port of the project."""

from nutmegstep.web.account import MemoryAccount
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
from nutmegstep.web.phases import CloseReason, SharedParts

__all__ = [
    'CloseReason',
    'EncodedResponse',
    'ErrorResponseBuilder',
    'Handler',
    'HeadFilter',
    'HttpLimits',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'MemoryAccount',
    'RequestHead',
    'SharedParts',
    'serve_http',
]
