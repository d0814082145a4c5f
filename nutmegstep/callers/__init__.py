"""HTTP interface for callers."""

from nutmegstep.callers.core import Ask, CallerInterface
from nutmegstep.callers.gate import CallerGate, HeadCheck
from nutmegstep.callers.replies import unreadable_response
from nutmegstep.callers.requests import CallerRequest, RequestParser

__all__ = [
    'Ask',
    'CallerGate',
    'CallerInterface',
    'CallerRequest',
    'HeadCheck',
    'RequestParser',
    'unreadable_response',
]
