"""Request handler of the callers' port."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from returns.result import Result, Success

from nutmegstep.callers.headers import ensure_request_id, validate_headers
from nutmegstep.callers.requests import CallerRequest, RequestParser
from nutmegstep.callers.responses import answer_response, refusal_response
from nutmegstep.model import Answer
from nutmegstep.runtime.protocols import (
    RequestEnd,
    RequestObserver,
    RequestTrace,
)
from nutmegstep.verdict import Refusal
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['CallerInterface', 'RequestExecutor']

Reply = Result[Answer, Refusal]
"""Outcome of a request: an answer, or a refusal that says what has run."""

RequestExecutor = Callable[[CallerRequest], Awaitable[Reply]]
"""Executes a request and returns its outcome, as `Runtime.execute` does."""


class CallerInterface:
    """Parses callers' requests, executes them and encodes the outcomes.

    Parameters
    ----------
    execute : RequestExecutor
        Executes parsed requests.
    parser : RequestParser
        Parses requests.
    observer : RequestObserver
        Records a span, metrics and a log line for each request.
    """

    def __init__(
        self,
        execute: RequestExecutor,
        parser: RequestParser,
        observer: RequestObserver,
    ) -> None:
        self._execute = execute
        self._parser = parser
        self._observer = observer

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request.

        Parameters
        ----------
        request : HttpRequest
            The request. Without a valid ``X-Request-Id`` it gets a new
            identifier.
        """
        sent_id = request.headers.get('x-request-id', '')
        request_id = ensure_request_id(sent_id.encode()).decode()
        parsed = self._parse(request, request_id)
        if isinstance(parsed, Refusal):
            self._observer.count_early_refusal(parsed.reason.value)
            return refusal_response(request_id, parsed)
        trace = self._observer.begin(
            parsed.service,
            request_id,
            parsed.traceparent,
        )
        return await self._answer(parsed, trace)

    def _parse(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> CallerRequest | Refusal:
        headers = validate_headers(request.headers)
        if isinstance(headers, Refusal):
            return headers
        with_id = headers.model_copy(update={'request_id': request_id})
        return self._parser.parse(request, with_id)

    async def _answer(
        self,
        parsed: CallerRequest,
        trace: RequestTrace,
    ) -> HttpResponse:
        end = RequestEnd(0, 'caller_gone')
        try:
            reply = await self._execute(
                replace(parsed, traceparent=trace.traceparent),
            )
            response = _encode_reply(parsed.request_id, reply)
            end = _request_end(response, reply)
        finally:
            trace.end(end)
        return response


def _encode_reply(request_id: str, reply: Reply) -> HttpResponse:
    if isinstance(reply, Success):
        return answer_response(request_id, reply.unwrap())
    return refusal_response(request_id, reply.failure())


def _request_end(response: HttpResponse, reply: Reply) -> RequestEnd:
    if isinstance(reply, Success):
        outcome = 'answer' if reply.unwrap().complete else 'partial'
        return RequestEnd(response.status, outcome)
    refusal = reply.failure()
    return RequestEnd(
        response.status,
        refusal.reason.value,
        refusal.verdict.value,
    )
