"""Log lines of requests whose handling has failed."""

import logging
import traceback
from collections.abc import Mapping
from typing import Final

__all__ = ['log_fault']

_LOG: Final = logging.getLogger(__name__)


def log_fault(
    message: str,
    error: Exception,
    id_header: bytes,
    headers: Mapping[bytes, bytes],
) -> None:
    """Log that the handling of a request has failed.

    The message of an exception may contain a request body or an idempotency
    key, so only its type and the source lines of its traceback are logged.

    Parameters
    ----------
    message : str
        What has failed.
    error : Exception
        Why.
    id_header : bytes
        Lower-case name of the header with the identifier of the request.
    headers : Mapping
        Headers of the request, by lower-case name.
    """
    fields = {
        'fault': type(error).__name__,
        'stack': traceback.format_tb(error.__traceback__),
        'request_id': headers.get(id_header, b'').decode('latin-1'),
    }
    _LOG.error(message, extra=fields)
