"""Answers callers' HTTP requests with the runtime's replies."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from returns.result import Result, Success

from nutmegstep.callers.headers import read_headers, read_request_id
from nutmegstep.callers.replies import answer_response, refusal_response
from nutmegstep.callers.requests import CallerRequest, RequestParser
from nutmegstep.model import Answer
from nutmegstep.runtime.ports import RequestObserver, RequestTrace
from nutmegstep.verdict import Refusal
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = ['Ask', 'CallerInterface']

Reply = Result[Answer, Refusal]

Ask = Callable[[CallerRequest], Awaitable[Reply]]
"""Runs a request; `Runtime.ask` does it."""


class CallerInterface:
    """Answers callers' requests.

    Parameters
    ----------
    ask : Ask
        Runs the requests.
    parser : RequestParser
        Reads the requests.
    observer : RequestObserver
        Records spans and metrics.
    """

    def __init__(
        self,
        ask: Ask,
        parser: RequestParser,
        observer: RequestObserver,
    ) -> None:
        self._ask = ask
        self._parser = parser
        self._observer = observer

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        sent_id = request.headers.get('x-request-id', '')
        request_id = read_request_id(sent_id.encode()).decode()
        asked = self._read(request, request_id)
        if isinstance(asked, Refusal):
            self._observer.count_early_refusal(asked.reason.value)
            return refusal_response(request_id, asked)
        trace = self._observer.begin(
            asked.service,
            request_id,
            asked.traceparent,
        )
        return await self._answer(asked, trace)

    def _read(
        self,
        request: HttpRequest,
        request_id: str,
    ) -> CallerRequest | Refusal:
        headers = read_headers(request.headers)
        if isinstance(headers, Refusal):
            return headers
        known = headers.model_copy(update={'request_id': request_id})
        return self._parser.parse(request, known)

    async def _answer(
        self,
        asked: CallerRequest,
        trace: RequestTrace,
    ) -> HttpResponse:
        status = 0
        outcome = 'caller_gone'
        try:
            reply = await self._ask(_with_trace(asked, trace.traceparent))
            response, outcome = _respond(asked.request_id, reply)
            status = response.status
        finally:
            trace.end(status, outcome)
        return response


def _with_trace(asked: CallerRequest, traceparent: str) -> CallerRequest:
    return replace(asked, traceparent=traceparent)


def _respond(request_id: str, reply: Reply) -> tuple[HttpResponse, str]:
    if isinstance(reply, Success):
        answer = reply.unwrap()
        outcome = 'answer' if answer.complete else 'partial'
        return answer_response(request_id, answer), outcome
    refusal = reply.failure()
    return refusal_response(request_id, refusal), refusal.reason.value
