"""Translates callers' HTTP requests into queries and replies into HTTP."""

import uuid
from typing import Final

import orjson
from returns.result import Success

from nutmegstep.clock import Clock
from nutmegstep.model import Answer, IdempotentQuery
from nutmegstep.runtime import Runtime
from nutmegstep.verdict import Reason, Refusal, Verdict, http_status, refuse
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['CallerInterface']

_SERVICES: Final = 'services'
_STATUS_OK: Final = 200
_MILLISECONDS: Final = 1000
_DEFAULT_TIMEOUT_MS: Final = '1000'


class CallerInterface:
    """Answers callers' requests.

    Parameters
    ----------
    runtime : Runtime
        Runs the queries.
    clock : Clock
        Gives the deadline of each request.
    """

    def __init__(self, runtime: Runtime, clock: Clock) -> None:
        self._runtime = runtime
        self._clock = clock

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        request_id = request.headers.get('x-request-id') or uuid.uuid4().hex
        query = self._parse(request, request_id)
        if isinstance(query, Refusal):
            return _refusal_response(request_id, query)
        reply = await self._runtime.ask(query)
        if isinstance(reply, Success):
            return _answer_response(request_id, reply.unwrap())
        return _refusal_response(request_id, reply.failure())

    def _parse(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> IdempotentQuery | Refusal:
        match request.path.strip('/').split('/'):
            case ['v1', 'services', service, 'query']:
                record_key = None
            case ['v1', 'services', service, 'records', record_key]:
                pass
            case _:
                return refuse(
                    Verdict.NOT_RUN,
                    Reason.BAD_REQUEST,
                    f'no resource at {request.path}',
                )
        timeout = request.headers.get('x-timeout-ms', _DEFAULT_TIMEOUT_MS)
        return IdempotentQuery(
            request_id,
            service,
            request.body or b'{}',
            self._clock.monotonic() + int(timeout) / _MILLISECONDS,
            record_key,
            request.headers.get('traceparent', ''),
        )


def _answer_response(request_id: str, answer: Answer) -> HttpResponse:
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
            shard: orjson.Fragment(found)
            for shard, found in answer.results_by_shard.items()
        },
    }
    return HttpResponse(_STATUS_OK, orjson.dumps(document))


def _refusal_response(request_id: str, refusal: Refusal) -> HttpResponse:
    retry_after = refusal.retry_after.total_seconds()
    document = {
        'request_id': request_id,
        'verdict': refusal.verdict.value,
        'attempt_verdict': refusal.attempt_verdict.value,
        'reason': refusal.reason.value,
        'retry_after_ms': int(retry_after * _MILLISECONDS),
        'detail': refusal.detail,
    }
    return HttpResponse(
        http_status(refusal.reason),
        orjson.dumps(document),
        (
            ('Retry-After', str(max(1, round(retry_after)))),
            ('X-Verdict', refusal.verdict.value),
        ),
    )
