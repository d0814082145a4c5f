"""HTTP interface for callers: parsing of requests, encoding of responses."""

from nutmegstep.callers.core import CallerInterface, RequestExecutor
from nutmegstep.callers.head_filter import AdmissionCheck, CallerHeadFilter
from nutmegstep.callers.requests import CallerRequest, RequestParser
from nutmegstep.callers.responses import error_response

__all__ = [
    'AdmissionCheck',
    'CallerHeadFilter',
    'CallerInterface',
    'CallerRequest',
    'RequestExecutor',
    'RequestParser',
    'error_response',
]
