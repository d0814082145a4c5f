"""Finds the client account of a request by its caller's key.

The VM that takes a request from its caller decides once; a coordinator or
substitute is told the account.
"""

from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Final

from nutmegstep.accounts import AccountDirectory, ClientAccount
from nutmegstep.configuration import Configuration, Route
from nutmegstep.dispatch.control_events import ConfigurationRead
from nutmegstep.dispatch.effects import Decision, DeliverRefusal, Effect
from nutmegstep.dispatch.events import RoutedRequest
from nutmegstep.dispatch.state import DispatchState
from nutmegstep.verdict import Reason, Verdict, refuse

__all__ = ['Identified', 'identify', 'record_read', 'refuse_unidentified']

_MAX_AGE_SECONDS: Final = 3.0
"""Time since the last read of the configuration after which it may be out of
date. It is read at least every 2 s while the store answers."""
_RETRY_AFTER: Final = timedelta(milliseconds=30)
"""Time after which a caller is asked to retry whose key another VM may know; short,
as that one is likely to serve the request at once."""
_LOGGED_DIGITS: Final = 12


@dataclass(frozen=True, slots=True)
class Identified:
    """Request whose caller is known.

    Parameters
    ----------
    request : RoutedRequest
        The request, with the name of the account and without the headers that
        are not forwarded.
    account : ClientAccount or None
        Account of the caller; None if it has none and needs none.
    """

    request: RoutedRequest
    account: ClientAccount | None


def identify(
    configuration: Configuration, request: RoutedRequest, route: Route
) -> Identified | None:
    """Return a request with its account; None if it lacks a key that is known.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force. Without accounts, the request stays as it is.
    request : RoutedRequest
        Request of a caller, or one that a neighbour has delegated.
    route : Route
        Route of the request; public ones need no key.
    """
    directory = configuration.accounts
    if directory is None:
        return Identified(request, None)
    account = _find(directory, request)
    if account is None and not route.is_public:
        return None
    kept = tuple(
        item
        for item in request.headers
        if item[0] not in request.private_headers
    )
    name = '' if account is None else account.name
    return Identified(replace(request, headers=kept, account=name), account)


def refuse_unidentified(
    state: DispatchState, request: RoutedRequest, now: float
) -> list[Effect]:
    """Refuse a request without a key that is known.

    A VM that may have missed a version of the configuration does not say that
    nobody holds the key, as callers believe that and do not retry.
    """
    is_sure = now <= state.configuration_read_at + _MAX_AGE_SECONDS
    refusal = refuse(
        Verdict.NOT_RUN,
        Reason.UNKNOWN_KEY if is_sure else Reason.NO_CONFIGURATION,
        'no account holds the key'
        if is_sure
        else 'this VM may not know the newest keys',
        retry_after=_RETRY_AFTER,
    )
    inputs = {
        'reason': refusal.reason.value,
        'host': request.host,
        'key_digest': request.key_digest[:_LOGGED_DIGITS],
    }
    return [
        Decision('refused', request.attempt_id, inputs),
        DeliverRefusal(request.request_id, refusal),
    ]


def record_read(
    state: DispatchState, event: ConfigurationRead, now: float
) -> list[Effect]:
    """Record that the configuration in force was the newest one just now."""
    state.configuration_read_at = now
    return []


def _find(
    directory: AccountDirectory, request: RoutedRequest
) -> ClientAccount | None:
    if request.delegated is not None and request.account is not None:
        return directory.by_name.get(request.account)
    return directory.by_key_digest.get(request.key_digest)
