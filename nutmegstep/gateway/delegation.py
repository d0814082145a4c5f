"""Passes queries to coordinators and marks the queries that they receive.

A coordinator is another VM of the failure domain. It gets the caller's request
with additional headers on the port for neighbours, confirms it with a
``100 Continue`` response, and answers as if the caller had sent the request.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from nutmegstep.clock import Clock
from nutmegstep.coordinators import DelegationTerms
from nutmegstep.discovery import TargetRecord
from nutmegstep.dispatch.effects import Delegate, DeliverReply, SendRequest
from nutmegstep.dispatch.events import (
    DelegationAccepted,
    DelegationAnswered,
    DelegationFailed,
    Event,
    HeaderItems,
    RoutedRequest,
    SendFailureKind,
)
from nutmegstep.gateway.codec import Delivery, WireCodec
from nutmegstep.gateway.exchange import SendOutcome
from nutmegstep.gateway.pool import ConnectionPool
from nutmegstep.settings.fields import read_address
from nutmegstep.web import HttpRequest, HttpResponse

__all__ = [
    'DelegationClient',
    'DelegationDeclined',
    'decline',
    'is_delegated',
    'mark_answer',
    'read_delegated',
]

_VERSION: Final = 'nutmegstep-config-version'
_PARTIAL_ANSWER_IN: Final = 'nutmegstep-partial-answer-ms'
_POSSIBLE_RUNS: Final = 'nutmegstep-possible-runs'
"""Request header with the attempts that the sender has made."""
_ACCOUNT: Final = 'nutmegstep-account'
"""Request header with the name of the caller's account, which the sender has
found by the caller's key; empty if the caller has none."""
_COORDINATOR: Final = 'nutmegstep-coordinator'
"""Response header that shows that a coordinator answers, and not another process
that has got the address of one."""
_DECLINED: Final = 'nutmegstep-declined'
"""Response header with the reason why nothing was sent for the query."""
_TARGET: Final = 'nutmegstep-target'
"""Response header with the identifier of the target whose reply it is."""
_REQUEST_LIMIT: Final = 'nutmegstep-request-limit'
"""Response header with the requests per second that this target accepts."""
_LEAVING: Final = 'nutmegstep-target-leaving'
"""Response header that is present if this target is about to exit."""
_OWN_HEADERS: Final = frozenset(
    name.encode()
    for name in (
        _VERSION,
        _PARTIAL_ANSWER_IN,
        _POSSIBLE_RUNS,
        _ACCOUNT,
        _COORDINATOR,
        _DECLINED,
        _TARGET,
        _REQUEST_LIMIT,
        _LEAVING,
    )
)
_EXPECT: Final = (b'expect', b'100-continue')
_STATUS_CONFLICT: Final = 409
_STATUS_INTERNAL_ERROR: Final = 500
_KEEP_ALIVE: Final = ('Keep-Alive', 'timeout=60')
_MAX_CONNECTIONS: Final = 16
"""Most connections of this VM to one other VM. All requests of a VM without links
to the targets may go to one substitute."""
_MS_PER_SECOND: Final = 1000


class DelegationDeclined(Exception):
    """Raised when this VM does not coordinate a delegated query.

    Parameters
    ----------
    reason : str
        Why it does not.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f'delegated query declined: {reason}')
        self.reason = reason


class DelegationClient:
    """Sends queries to coordinators.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the deadlines.
    codec : WireCodec
        Builds the headers of requests and decodes answers.
    dispatch : Callable
        Passes an event to the dispatcher.
    """

    def __init__(
        self,
        clock: Clock,
        codec: WireCodec,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._dispatch = dispatch
        self._codec = codec
        self._pool = ConnectionPool(clock, codec, self._finish, self._confirm)

    def send(self, effect: Delegate) -> None:
        """Send a query to a coordinator."""
        host, port = read_address(effect.address)
        coordinator = TargetRecord(
            target_id='',
            service='',
            host=host,
            port=port,
            failure_domain='',
            slots=_MAX_CONNECTIONS,
            is_draining=False,
            cold_until=0,
            started_ms=0,
        )
        self._pool.send(
            SendRequest(
                effect.delegation_id,
                _with_terms(effect.request, effect.terms),
                coordinator,
                effect.expires_at,
                _MAX_CONNECTIONS,
                is_repeatable=effect.is_repeatable,
            ),
        )

    def cancel(self, delegation_id: int) -> None:
        """Close the connection of a query, so that its coordinator stops."""
        self._pool.cancel(delegation_id)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _confirm(self, effect: SendRequest) -> None:
        self._dispatch(
            DelegationAccepted(effect.request.request_id, effect.send_id)
        )

    def _finish(self, effect: SendRequest, outcome: SendOutcome) -> None:
        self._dispatch(_read_outcome(self._codec, effect, outcome))


def is_delegated(request: HttpRequest) -> bool:
    """Return whether a neighbour's request is a delegated query."""
    return _VERSION in request.headers


def read_delegated(
    http_request: HttpRequest,
    request: RoutedRequest,
) -> RoutedRequest | None:
    """Return a delegated query with its terms, or None if they are invalid."""
    version = http_request.headers.get(_VERSION, '')
    milliseconds = http_request.headers.get(_PARTIAL_ANSWER_IN, '')
    runs = http_request.headers.get(_POSSIBLE_RUNS, '0')
    if not all(one.isdecimal() for one in (version, milliseconds, runs)):
        return None
    terms = DelegationTerms(
        int(version), int(milliseconds) / _MS_PER_SECOND, int(runs)
    )
    return replace(
        request,
        headers=_without_own(request.headers),
        delegated=terms,
        account=http_request.headers.get(_ACCOUNT),
    )


def mark_answer(
    response: HttpResponse, delivery: Delivery | None = None
) -> HttpResponse:
    """Return the answer to a delegated query with the coordinator's headers.

    They state the limit of the target, so that the VM which passes the answer
    on keeps to it when it sends requests itself.
    """
    added: list[tuple[str, str | bytes]] = [(_COORDINATOR, '1'), _KEEP_ALIVE]
    if isinstance(delivery, DeliverReply):
        added.append((_TARGET, delivery.target_id.encode()))
        if delivery.reply.request_limit is not None:
            added.append((_REQUEST_LIMIT, str(delivery.reply.request_limit)))
        if delivery.reply.is_leaving:
            added.append((_LEAVING, '1'))
    return replace(response, headers=(*response.headers, *added))


def decline(reason: str) -> HttpResponse:
    """Return the response to a delegated query of which nothing was sent."""
    response = HttpResponse(_STATUS_CONFLICT, b'', ((_DECLINED, reason),))
    return mark_answer(response)


def _with_terms(
    request: RoutedRequest, terms: DelegationTerms
) -> RoutedRequest:
    milliseconds = int(terms.partial_answer_in * _MS_PER_SECOND)
    added = [
        (_VERSION.encode(), b'%d' % terms.config_version),
        (_PARTIAL_ANSWER_IN.encode(), b'%d' % milliseconds),
        (_POSSIBLE_RUNS.encode(), b'%d' % terms.possible_runs),
        _EXPECT,
    ]
    if request.account is not None:
        added.append((_ACCOUNT.encode(), request.account.encode()))
    return replace(request, headers=(*_without_own(request.headers), *added))


def _without_own(headers: HeaderItems) -> HeaderItems:
    return tuple(item for item in headers if item[0] not in _OWN_HEADERS)


def _read_outcome(
    codec: WireCodec, effect: SendRequest, outcome: SendOutcome
) -> Event:
    ids = (effect.request.request_id, effect.send_id)
    if isinstance(outcome, SendFailureKind):
        return DelegationFailed(*ids, outcome.value, outcome.may_have_run)
    header_by_name = dict(outcome.headers)
    if _COORDINATOR.encode() not in header_by_name:
        # Another process has got the address, and knows no targets; or the
        # coordinator has failed at any point of handling the request.
        return DelegationFailed(
            *ids,
            'not_a_coordinator',
            may_have_run=outcome.status == _STATUS_INTERNAL_ERROR,
        )
    reason = header_by_name.get(_DECLINED.encode())
    if reason is not None:
        return DelegationFailed(
            *ids, reason.decode('latin-1'), may_have_run=False
        )
    reply = codec.read_delegated_reply(effect, outcome)
    if reply is None:
        return DelegationFailed(*ids, 'invalid', may_have_run=True)
    stated = header_by_name.get(_REQUEST_LIMIT.encode())
    return DelegationAnswered(
        *ids,
        replace(
            reply,
            headers=_without_own(reply.headers),
            request_limit=None if stated is None else float(stated),
            is_leaving=_LEAVING.encode() in header_by_name,
        ),
        header_by_name.get(_TARGET.encode(), b'').decode(errors='replace'),
    )
