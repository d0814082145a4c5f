"""Encodes answers and refusals for callers."""

import math
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import orjson

from nutmegstep.callers.headers import read_request_id
from nutmegstep.model import Answer
from nutmegstep.verdict import Reason, Refusal, Verdict, http_status, refuse
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
    """Return the response that carries an answer."""
    document = {
        'request_id': request_id,
        'service': answer.service,
        'index_version': answer.index_version,
        'complete': answer.complete,
        'covered': answer.covered,
        'lacking': [
            {'shard': lack.name, 'reason': lack.reason}
            for lack in answer.lacking
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
    """Return the response that carries a refusal."""
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
        http_status(refusal.reason),
        orjson.dumps(document),
        (
            ('X-Request-Id', request_id),
            ('Retry-After', str(max(1, math.ceil(seconds)))),
            ('X-Verdict', refusal.verdict.value),
        ),
    )


class _RefusalTemplate:
    """Bytes of a refusal with room for the request identifier."""

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
    """Return a refusal as bytes, for requests refused by their head.

    Parameters
    ----------
    reason : Reason
        Why the request is refused.
    detail : str
        One sentence for a person.
    has_key : bool
        Whether the request carries a key. An earlier attempt of the key
        may have run; only this attempt has not.
    close : bool
        Whether the connection closes.
    """
    verdict = Verdict.MAY_HAVE_RUN if has_key else Verdict.NOT_RUN
    refusal = refuse(verdict, reason, detail, attempt_verdict=Verdict.NOT_RUN)
    return _RefusalTemplate(refusal, close)


def error_response(
    status: int,
    headers: Mapping[bytes, bytes],
) -> HttpResponse:
    """Return the refusal of a request that the server could not read.

    Parameters
    ----------
    status : int
        Status code that the server result.
    headers : Mapping
        Headers as far as they were read.
    """
    request_id = read_request_id(headers.get(b'x-request-id', b''))
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
            'an internal fault ended the request',
        )
    if status == HTTPStatus.REQUEST_TIMEOUT:
        # An incomplete repeat says nothing about earlier attempts of its key,
        # and without a head it is unknown whether there is a key.
        unknown = has_key or not has_head
        return refuse(
            Verdict.MAY_HAVE_RUN if unknown else Verdict.NOT_RUN,
            Reason.BAD_REQUEST,
            'the request was not complete within the time limit',
            attempt_verdict=Verdict.NOT_RUN,
        )
    if status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        detail = 'the body exceeds 256 KB'
        return refuse(Verdict.NOT_RUN, Reason.TOO_LARGE, detail)
    detail = 'the request is not valid HTTP/1.1 or its head exceeds 16 KB'
    return refuse(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
