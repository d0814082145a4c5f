"""Validates the headers of callers' requests."""

import re
import uuid
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from nutmegstep.verdict import Reason, Refusal, Verdict, refuse

__all__ = ['CallerHeaders', 'read_headers', 'read_request_id']

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
        ``X-Request-Id``.
    timeout_ms : int or None
        ``X-Timeout-Ms``.
    traceparent : str
        W3C trace context; empty when absent or malformed, because the
        W3C recommendation asks to start a new trace then.
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


def read_headers(headers: Mapping[str, str]) -> CallerHeaders | Refusal:
    """Return the validated headers, or a refusal that names the header.

    Parameters
    ----------
    headers : Mapping
        Values by lower-case name.

    Examples
    --------
    >>> read_headers({'x-timeout-ms': '250'}).timeout_ms
    250
    >>> read_headers({'x-timeout-ms': 'soon'}).detail
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


def read_request_id(text: bytes) -> bytes:
    """Return a valid request identifier, or a new one in its place.

    Examples
    --------
    >>> read_request_id(b'order-17')
    b'order-17'
    >>> len(read_request_id(b'"'))
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
