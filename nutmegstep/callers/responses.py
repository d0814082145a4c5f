"""Encoding of answers and refusals as HTTP responses."""

import math
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import orjson

from nutmegstep.callers.headers import ensure_request_id
from nutmegstep.model import Answer
from nutmegstep.verdict import Reason, Refusal, Verdict, refusal_status, refuse
from nutmegstep.web import EncodedResponse, HttpResponse

__all__ = [
    'answer_response',
    'build_refusal_template',
    'error_response',
    'refusal_response',
]

_MS_PER_SECOND: Final = 1000
_PLACEHOLDER: Final = '%REQUEST-ID%'


def answer_response(request_id: str, answer: Answer) -> HttpResponse:
    """Return the HTTP response for an answer."""
    document = {
        'request_id': request_id,
        'service': answer.service,
        'index_version': answer.index_version,
        'complete': answer.complete,
        'covered': answer.covered,
        'lacking': [
            {'shard': missing.name, 'reason': missing.reason}
            for missing in answer.lacking
        ],
        'results': {
            shard: orjson.Fragment(result)
            for shard, result in answer.results_by_shard.items()
        },
    }
    return HttpResponse(
        HTTPStatus.OK,
        orjson.dumps(document),
        (('X-Request-Id', request_id),),
    )


def refusal_response(request_id: str, refusal: Refusal) -> HttpResponse:
    """Return the HTTP response for a refusal."""
    seconds = refusal.retry_after.total_seconds()
    document = {
        'request_id': request_id,
        'verdict': refusal.verdict.value,
        'attempt_verdict': refusal.attempt_verdict.value,
        'reason': refusal.reason.value,
        'retry_after_ms': int(seconds * _MS_PER_SECOND),
        'detail': refusal.detail,
    }
    return HttpResponse(
        refusal_status(refusal),
        orjson.dumps(document),
        (
            ('X-Request-Id', request_id),
            ('Retry-After', str(max(1, math.ceil(seconds)))),
            ('X-Verdict', refusal.verdict.value),
        ),
    )


class _RefusalTemplate:
    """An encoded refusal in which only the request identifier is missing."""

    def __init__(self, refusal: Refusal, close: bool) -> None:
        response = refusal_response(_PLACEHOLDER, refusal)
        status = HTTPStatus(response.status)
        headers = [
            ('Content-Type', response.content_type),
            *response.headers,
            *((('Connection', 'close'),) if close else ()),
        ]
        lines = [
            f'HTTP/1.1 {status.value} {status.phrase}',
            *(f'{name}: {text}' for name, text in headers),
            'Content-Length: ',
        ]
        placeholder = _PLACEHOLDER.encode()
        head = '\r\n'.join(lines).encode()
        self._head = head.split(placeholder)
        self._body = response.body.split(placeholder)
        self._fixed_length = sum(map(len, self._body))
        self._close = close

    def fill(self, request_id: bytes) -> EncodedResponse:
        length = self._fixed_length + len(request_id)
        head = request_id.join(self._head)
        body = request_id.join(self._body)
        return EncodedResponse(
            b'%b%d\r\n\r\n%b' % (head, length, body),
            self._close,
        )


def build_refusal_template(
    reason: Reason,
    detail: str,
    *,
    has_key: bool,
    close: bool,
) -> _RefusalTemplate:
    """Return the template of a refusal, for requests refused by their head.

    Parameters
    ----------
    reason : Reason
        Why the request is refused.
    detail : str
        Explanation in one sentence, for a human reader.
    has_key : bool
        Whether the request carries an idempotency key. If so, an earlier
        attempt with the same key may have run, although this one has not.
    close : bool
        Whether the response closes the connection.
    """
    verdict = Verdict.MAY_HAVE_RUN if has_key else Verdict.NOT_RUN
    refusal = refuse(verdict, reason, detail, attempt_verdict=Verdict.NOT_RUN)
    return _RefusalTemplate(refusal, close)


def error_response(
    status: int,
    headers: Mapping[bytes, bytes],
) -> HttpResponse:
    """Return the refusal of a request that the HTTP server rejected.

    Parameters
    ----------
    status : int
        Status code that the HTTP server determined: 408 for an incomplete
        request, 413 for a body over the limit, 500 for a failed handler;
        any other one for a request that is invalid or has too large a head.
    headers : Mapping
        Headers of the request by lower-case name; empty if its head was not
        read completely.
    """
    request_id = ensure_request_id(headers.get(b'x-request-id', b''))
    has_key = b'idempotency-key' in headers
    return refusal_response(
        request_id.decode(),
        _refusal_for_status(status, has_key, bool(headers)),
    )


def _refusal_for_status(status: int, has_key: bool, has_head: bool) -> Refusal:
    if status == HTTPStatus.INTERNAL_SERVER_ERROR:
        return refuse(
            Verdict.MAY_HAVE_RUN,
            Reason.INTERNAL,
            'the request failed with an internal error',
        )
    if status == HTTPStatus.REQUEST_TIMEOUT:
        # An incomplete request has not run, but an earlier attempt with the
        # same idempotency key may have. Without a complete head it is unknown
        # whether the request has a key.
        may_have_key = has_key or not has_head
        return refuse(
            Verdict.MAY_HAVE_RUN if may_have_key else Verdict.NOT_RUN,
            Reason.BAD_REQUEST,
            'the request was not complete within the time limit',
            attempt_verdict=Verdict.NOT_RUN,
        )
    if status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        detail = 'the body exceeds 256 KiB'
        return refuse(Verdict.NOT_RUN, Reason.TOO_LARGE, detail)
    detail = 'the request is not valid HTTP/1.1 or its head exceeds 16 KiB'
    return refuse(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
