"""Validation of the headers of callers' requests."""

import re
import uuid
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = ['CallerHeaders', 'ensure_request_id', 'validate_headers']

_REQUEST_ID_PATTERN: Final = '^[A-Za-z0-9._:/+=@-]{1,128}$'
_REQUEST_ID_REGEX: Final = re.compile(_REQUEST_ID_PATTERN.encode())
_TRACEPARENT_REGEX: Final = re.compile(
    '^00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}$',
)
_TIMEOUT_MS_MAX: Final = 600_000


class CallerHeaders(BaseModel):
    """Headers that a caller may send.

    Parameters
    ----------
    request_id : str or None
        ``X-Request-Id``, 1 to 128 characters.
    timeout_ms : int or None
        ``X-Timeout-Ms``, 1 ms to 10 min.
    traceparent : str
        W3C trace context; empty if it is absent or malformed. In both cases
        the W3C recommendation requires that a new trace is started.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    request_id: Annotated[str, Field(pattern=_REQUEST_ID_PATTERN)] | None = (
        Field(
            None,
            alias='x-request-id',
        )
    )
    timeout_ms: Annotated[int, Field(ge=1, le=_TIMEOUT_MS_MAX)] | None = Field(
        None, alias='x-timeout-ms'
    )
    traceparent: str = ''


def validate_headers(headers: Mapping[str, str]) -> CallerHeaders | Refusal:
    """Return the validated headers, or a refusal that names the invalid one.

    Parameters
    ----------
    headers : Mapping
        Values by lower-case name.

    Examples
    --------
    >>> validate_headers({'x-timeout-ms': '250'}).timeout_ms
    250
    >>> validate_headers({'x-timeout-ms': 'soon'}).detail
    'header x-timeout-ms is not an integer from 1 to 600000'
    """
    try:
        validated = CallerHeaders.model_validate(headers)
    except ValidationError as error:
        name = str(error.errors()[0]['loc'][0])
        return refuse(
            Verdict.NOT_RUN,
            Reason.BAD_REQUEST,
            f'header {name} is not {_EXPECTED_BY_HEADER[name]}',
        )
    if _TRACEPARENT_REGEX.match(validated.traceparent):
        return validated
    return validated.model_copy(update={'traceparent': ''})


def ensure_request_id(text: bytes) -> bytes:
    """Return a request identifier, replaced by a new one if it is invalid.

    Parameters
    ----------
    text : bytes
        Value of ``X-Request-Id``; empty if the header is missing.

    Examples
    --------
    >>> ensure_request_id(b'order-17')
    b'order-17'
    >>> len(ensure_request_id(b'"'))
    32
    """
    if _REQUEST_ID_REGEX.match(text):
        return text
    return uuid.uuid4().hex.encode()


_EXPECTED_BY_HEADER: Final = MappingProxyType(
    {
        'x-request-id': 'made of 1 to 128 characters A-Z a-z 0-9 . _ : / + = @ -',
        'x-timeout-ms': f'an integer from 1 to {_TIMEOUT_MS_MAX}',
    }
)
