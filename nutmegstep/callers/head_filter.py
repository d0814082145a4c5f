"""Filter of the callers' port that sees requests before their body is read."""

from collections.abc import Callable
from functools import lru_cache
from types import MappingProxyType
from typing import Final

from nutmegstep.callers.headers import ensure_request_id
from nutmegstep.callers.responses import build_refusal_template
from nutmegstep.verdict import Reason
from nutmegstep.web import EncodedResponse, RequestHead

__all__ = ['AdmissionCheck', 'CallerHeadFilter']

AdmissionCheck = Callable[[str], Reason | None]
"""Returns why new requests for a service are refused at present, or None. Its
argument is the name of the service, which may be unknown."""

_GET: Final = b'GET'
_CLOSE: Final = b'Connection: close\r\n'
_SERVICE_INDEX: Final = 3
"""Position of the service in a path such as ``/v1/services/SERVICE/query``,
split at its slashes."""
_DETAIL_BY_REASON: Final = MappingProxyType(
    {
        Reason.OVERLOADED: 'too many requests or connections are open',
        Reason.DRAINING: 'the process is stopping',
        Reason.DOMAIN_WITHDRAWN: 'the failure domain is withdrawn',
        Reason.NO_CONFIGURATION: 'no configuration is in force yet',
    }
)

_cached_template = lru_cache(maxsize=64)(build_refusal_template)


class CallerHeadFilter:
    """Answers health probes and refuses requests from their head alone.

    Parameters
    ----------
    is_ready : Callable
        Returns whether the load balancer may send requests to this process.
    check : AdmissionCheck
        Decides whether new requests for a service are admitted.
    on_refusal : Callable
        Called with the value of the `Reason` of each refusal.

    Attributes
    ----------
    draining : bool
        Whether ``/ready`` returns status 503 and the responses of this
        filter close their connections.
    refusing : bool
        Whether all requests are refused with `Reason.DRAINING`, because the
        listening socket has been closed.

    Notes
    -----
    ``GET /live`` always returns status 200. Refusals are encoded once for
    each combination of their properties and reused.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        check: AdmissionCheck,
        on_refusal: Callable[[str], None],
    ) -> None:
        self.draining = False
        self.refusing = False
        self._is_ready = is_ready
        self._check = check
        self._on_refusal = on_refusal

    def check(self, head: RequestHead) -> EncodedResponse | None:
        """Return the response to a request, or None to pass it on.

        Parameters
        ----------
        head : RequestHead
            Head of the request.
        """
        if head.method == _GET and head.target == b'/live':
            return self._probe_response(head, is_ok=True)
        if head.method == _GET and head.target == b'/ready':
            ready = self._is_ready() and not self.draining
            return self._probe_response(head, is_ok=ready)
        reason = self._find_reason(head)
        if reason is None:
            return None
        self._on_refusal(reason.value)
        template = _cached_template(
            reason,
            _DETAIL_BY_REASON.get(reason, 'refused before the body was read'),
            has_key=b'idempotency-key' in head.headers,
            close=self.draining or head.over_limit,
        )
        return template.fill(_request_id(head))

    def _find_reason(self, head: RequestHead) -> Reason | None:
        if self.refusing:
            return Reason.DRAINING
        if head.over_limit:
            return Reason.OVERLOADED
        parts = head.target.split(b'/', _SERVICE_INDEX + 1)
        if len(parts) <= _SERVICE_INDEX:
            return None
        return self._check(parts[_SERVICE_INDEX].decode('latin-1'))

    def _probe_response(
        self, head: RequestHead, *, is_ok: bool
    ) -> EncodedResponse:
        close = self.draining or head.over_limit
        status = b'200 OK' if is_ok else b'503 Service Unavailable'
        content = b'HTTP/1.1 %b\r\nX-Request-Id: %b\r\n%b%b' % (
            status,
            _request_id(head),
            _CLOSE * close,
            b'Content-Length: 0\r\n\r\n',
        )
        return EncodedResponse(content, close)


def _request_id(head: RequestHead) -> bytes:
    return ensure_request_id(head.headers.get(b'x-request-id', b''))
