"""Parsing of callers' HTTP requests into queries and one-shot requests."""

import uuid
from collections.abc import Callable
from datetime import timedelta
from typing import Final
from urllib.parse import unquote

import orjson

from nutmegstep.callers.headers import CallerHeaders
from nutmegstep.model import IdempotentQuery, OneShotRequest
from nutmegstep.verdict import Reason, Refusal, Verdict, refuse
from nutmegstep.web import HttpRequest

__all__ = ['CallerRequest', 'RequestParser']

CallerRequest = IdempotentQuery | OneShotRequest
"""A query, which may run any number of times, or a one-shot request, which an
idempotency key protects from running twice."""

_KEY_UUID_VERSION: Final = 7
_RECORD_KEY_CHARS_MAX: Final = 512
_MS_PER_SECOND: Final = 1000
_EMPTY_BODY: Final = b'{}'


class RequestParser:
    """Parses requests and derives their deadlines.

    The deadline follows from the timeout that is declared for the service, or
    from ``X-Timeout-Ms`` if that is shorter.

    Parameters
    ----------
    monotonic : Callable
        Returns the current monotonic time in seconds.
    service_timeout : Callable
        Returns the declared timeout of a service by its name, which may be
        unknown.
    """

    def __init__(
        self,
        monotonic: Callable[[], float],
        service_timeout: Callable[[str], timedelta],
    ) -> None:
        self._monotonic = monotonic
        self._service_timeout = service_timeout

    def parse(
        self,
        request: HttpRequest,
        headers: CallerHeaders,
    ) -> CallerRequest | Refusal:
        """Return the parsed request, or a refusal if it is malformed.

        Parameters
        ----------
        request : HttpRequest
            The request, with its body.
        headers : CallerHeaders
            Its validated headers.
        """
        parts = request.path.strip('/').split('/')
        match (request.method, *map(unquote, parts)):
            case ('POST', 'v1', 'services', service, 'query'):
                return self._query(service, request, headers)
            case ('GET', 'v1', 'services', service, 'records', record_key):
                return self._look_up(service, record_key, headers)
            case ('POST', 'v1', 'services', service, 'records', record_key):
                return self._one_shot(service, record_key, request, headers)
        return _refuse(f'no resource for {request.method} at this path')

    def _query(
        self,
        service: str,
        request: HttpRequest,
        headers: CallerHeaders,
    ) -> CallerRequest | Refusal:
        if not _is_json(request.body):
            return _refuse('the body is not a JSON document')
        return IdempotentQuery(
            headers.request_id or '',
            service,
            request.body,
            self._deadline(service, headers),
            traceparent=headers.traceparent,
        )

    def _look_up(
        self,
        service: str,
        record_key: str,
        headers: CallerHeaders,
    ) -> CallerRequest | Refusal:
        if not _is_record_key(record_key):
            return _refuse_record_key()
        return IdempotentQuery(
            headers.request_id or '',
            service,
            _EMPTY_BODY,
            self._deadline(service, headers),
            record_key,
            headers.traceparent,
        )

    def _one_shot(
        self,
        service: str,
        record_key: str,
        request: HttpRequest,
        headers: CallerHeaders,
    ) -> CallerRequest | Refusal:
        key = _read_key(request.headers.get('idempotency-key', ''))
        if isinstance(key, Refusal):
            return key
        if not _is_record_key(record_key):
            return _refuse_record_key()
        if not _is_json(request.body):
            return _refuse('the body is not a JSON document')
        return OneShotRequest(
            headers.request_id or '',
            service,
            record_key,
            key,
            request.body,
            self._deadline(service, headers),
            headers.traceparent,
        )

    def _deadline(self, service: str, headers: CallerHeaders) -> float:
        seconds = self._service_timeout(service).total_seconds()
        if headers.timeout_ms is not None:
            seconds = min(seconds, headers.timeout_ms / _MS_PER_SECOND)
        return self._monotonic() + seconds


def _is_json(body: bytes) -> bool:
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    return True


def _is_record_key(record_key: str) -> bool:
    return 0 < len(record_key) <= _RECORD_KEY_CHARS_MAX


def _read_key(text: str) -> uuid.UUID | Refusal:
    try:
        key = uuid.UUID(text)
    except ValueError:
        return _refuse_key()
    # uuid.UUID also accepts braces and URNs. Only the canonical form is
    # allowed, so that equal keys are spelled alike.
    canonical = str(key) == text.lower()
    return (
        key if canonical and key.version == _KEY_UUID_VERSION else _refuse_key()
    )


def _refuse_key() -> Refusal:
    return refuse(
        Verdict.NOT_RUN,
        Reason.KEY_INVALID,
        'header idempotency-key is not a UUID of version 7',
    )


def _refuse_record_key() -> Refusal:
    return _refuse(
        f'the record key must have 1 to {_RECORD_KEY_CHARS_MAX} characters'
    )


def _refuse(detail: str) -> Refusal:
    return refuse(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
